package target

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

// The life of a requestBody: from fresh to either handed or sealed, once.
const (
	bodyUnread int32 = iota
	bodyRead         // the transport has read from it
	bodySealed       // the call has ended before that
)

// requestBody is the body of one call. It can be read once and offers no way
// to rewind, so that net/http can never replay a request by itself.
//
// It also settles whether the target may have started the call: a call that
// fails may leave a goroutine of net/http behind that is about to write the
// request. Sealing an unread body makes that write fail, and a target that
// gets no byte of the body can't run the request.
type requestBody struct {
	data  *bytes.Reader
	state atomic.Int32
}

func newRequestBody(data []byte) *requestBody {
	return &requestBody{data: bytes.NewReader(data)}
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyUnread, bodyRead) && b.state.Load() == bodySealed {
		return 0, errors.New("the call has ended")
	}
	return b.data.Read(p)
}

// Close implements io.Closer.
func (b *requestBody) Close() error { return nil }

// seal ends the call and reports whether nothing of the body was handed out,
// now or ever.
func (b *requestBody) seal() bool {
	return b.state.CompareAndSwap(bodyUnread, bodySealed) || b.state.Load() == bodySealed
}

var _ io.ReadCloser = (*requestBody)(nil)
