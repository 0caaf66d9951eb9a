package edge

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"
)

// pieces reads data in pieces of at most so many bytes, and ends with err.
type pieces struct {
	data []byte
	size int
	err  error
}

// Read implements io.Reader.
func (p *pieces) Read(b []byte) (int, error) {
	n := copy(b, p.data[:min(len(p.data), p.size)])
	p.data = p.data[n:]
	if n == 0 {
		return 0, p.err
	}
	return n, nil
}

// errBroken is the end of a body that breaks off.
var errBroken = errors.New("broken off")

// Guards against bodies that are changed, cut or taken for whole by the way in which they arrive, and against memory
// that is used before it was counted.
func FuzzBodyIsReadInPieces(f *testing.F) {
	f.Add([]byte("report"), 1, true, false, 1<<20)
	f.Add(bytes.Repeat([]byte("x"), 5000), 700, false, false, 1<<20)
	f.Add(bytes.Repeat([]byte("x"), 5000), 5000, false, true, 1<<20)
	f.Add(bytes.Repeat([]byte("x"), 5000), 2048, true, false, 1000)
	f.Fuzz(func(t *testing.T, data []byte, size int, stated, broken bool, limit int) {
		g := gomega.NewWithT(t)
		end, length := io.EOF, int64(-1)
		if broken {
			end = errBroken
		}
		if stated {
			length = int64(len(data))
		}
		body, held := new(arrivingBody), 0
		err := body.readInto(&pieces{data: bytes.Clone(data), size: max(size, 1), err: end}, length, func(size int) bool {
			g.Expect(cap(body.take())).To(gomega.BeNumerically("<=", held), "is not used before it is counted")
			if size > limit {
				return false
			}
			held = size
			return true
		})
		switch {
		case err == nil:
			g.Expect(broken).To(gomega.BeFalse())
			g.Expect(bytes.Equal(body.take(), data)).To(gomega.BeTrue())
		case errors.Is(err, errNoMemory):
			g.Expect(max(2*len(data), firstBodySize)).To(gomega.BeNumerically(">", limit))
		default:
			g.Expect(err).To(gomega.MatchError(errBroken))
		}
	})
}

// Guards against a body that keeps its memory until its reader wakes, or is served after it has given way.
func TestBodyThatGivesWayIsDroppedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	body := new(arrivingBody)
	r := io.MultiReader(iotest.DataErrReader(bytes.NewReader(make([]byte, 1000))), readerFunc(func(b []byte) (int, error) {
		g.Expect(body.take()).To(gomega.HaveLen(1000))
		body.drop()
		g.Expect(body.take()).To(gomega.BeNil())
		return copy(b, "x"), nil
	}))
	g.Expect(body.readInto(r, -1, func(int) bool { return true })).To(gomega.MatchError(errNoMemory))
	g.Expect(body.take()).To(gomega.BeNil())
}

// readerFunc is an io.Reader.
type readerFunc func(b []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
