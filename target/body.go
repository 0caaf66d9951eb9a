package target

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

// The states of a requestBody. It changes once, from unread to read or sealed.
const (
	bodyUnread int32 = iota // the transport has not read from the body, and the call has not ended
	bodyRead                // the transport has read from the body
	bodySealed              // the call ended before the transport read from the body; every later read fails
)

// requestBody is the body of one call. It can be read once and can't be
// rewound, so that net/http can't resend a request by itself.
//
// It also determines whether the target may have started the call. When a call
// fails, a goroutine of net/http may still be about to write the request.
// Sealing an unread body makes that write fail, and a target that receives no
// byte of the body can't run the request.
type requestBody struct {
	data  *bytes.Reader
	state atomic.Int32
}

// newRequestBody returns an unread body with the given content.
func newRequestBody(data []byte) *requestBody {
	return &requestBody{data: bytes.NewReader(data)}
}

// Read implements io.Reader. It fails if the body is sealed.
func (b *requestBody) Read(p []byte) (int, error) {
	// The first read marks the body as read, so that it can't be sealed later.
	if !b.state.CompareAndSwap(bodyUnread, bodyRead) && b.state.Load() == bodySealed {
		return 0, errors.New("the call has ended")
	}
	return b.data.Read(p)
}

// Close implements io.Closer. It does nothing.
func (b *requestBody) Close() error { return nil }

// seal must be called when the call ends. It returns true if the transport has never read
// from the body. The body is then sealed: later reads fail, so it is never sent.
func (b *requestBody) seal() bool {
	// True if this call of seal sealed the body, or an earlier one did.
	return b.state.CompareAndSwap(bodyUnread, bodySealed) || b.state.Load() == bodySealed
}

var _ io.ReadCloser = (*requestBody)(nil)
