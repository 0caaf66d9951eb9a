package leafhttp

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// Bounds of what a faulty leaf can make this VM read and keep. With n requests in flight, answers take
// at most n * (maxHeadBytes + maxPreparedBytes) + 1.5 * maxLongBodies bytes while they are read.
const (
	// maxHeadBytes bounds status lines and headers of an answer, those of informational answers
	// before it included, in bytes.
	maxHeadBytes = 64 << 10
	// maxInformational bounds the informational answers before the answer.
	maxInformational = 16
	// maxAnswerBytes bounds the body of an answer, in bytes.
	maxAnswerBytes = 4 << 20
	// maxBodyWireBytes bounds a body as it is sent, in bytes: with the headers of chunks, and trailers.
	maxBodyWireBytes = 2*maxAnswerBytes + maxHeadBytes
	// maxPreparedBytes is the length of a body, in bytes, up to which it does not count towards
	// maxLongBodies.
	maxPreparedBytes = 64 << 10
	// maxLongBodies bounds the longer bodies of all answers that are read at the same time, in bytes.
	maxLongBodies = 32 << 20
	// firstBodyBytes is the first capacity for a body of unknown length, in bytes.
	firstBodyBytes = 4 << 10
)

// Part is the part of an answer that exceeds its bound.
type Part int

// The parts of an answer.
const (
	PartHead          Part = iota // status lines and headers
	PartInformational             // informational answers before the answer
	PartBody                      // body, or its chunk headers and trailers
	PartLongBodies                // the long bodies of all answers that are read now
)

// Parts returns all parts.
func Parts() []Part { return []Part{PartHead, PartInformational, PartBody, PartLongBodies} }

// partNames are the words used in logs and metrics.
var partNames = [...]string{"head", "informational", "body", "long_bodies"}

// String returns the word used in logs and metrics.
func (p Part) String() string { return partNames[p] }

// AnswerTooLongError reports an answer that exceeds a bound. The leaf has run the request or may have.
type AnswerTooLongError struct{ Part Part }

// Error implements error.
func (e *AnswerTooLongError) Error() string { return "leafhttp: answer too long: " + e.Part.String() }

// boundedReader reads from a connection up to a bound.
type boundedReader struct {
	src  io.Reader
	part Part
	left int // bytes until the bound of part
}

// allow sets the bound of the part of the answer that is read next.
func (r *boundedReader) allow(part Part, bytes int) { r.part, r.left = part, bytes }

// Read implements io.Reader. At the bound it returns an AnswerTooLongError.
func (r *boundedReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, &AnswerTooLongError{Part: r.part}
	}
	n, err := r.src.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}

// longBodies bounds the memory for long bodies. It is safe for concurrent use.
type longBodies struct {
	held  atomic.Int64
	limit int64 // in bytes; 0 means maxLongBodies; set before the first use
}

// reserve reserves memory for a body of so many bytes, and reports whether there is enough.
func (l *longBodies) reserve(bytes int) bool {
	limit := int64(maxLongBodies)
	if l.limit > 0 {
		limit = l.limit
	}
	for {
		held := l.held.Load()
		if held+int64(bytes) > limit {
			return false
		}
		if l.held.CompareAndSwap(held, held+int64(bytes)) {
			return true
		}
	}
}

// release gives memory back.
func (l *longBodies) release(bytes int) { l.held.Add(-int64(bytes)) }

// readAnswer reads the answer to a request with this method. It also returns the response
// that the answer was read from. A body that ends too early is an error. If only the end
// of the connection delimits the body, a reset of the connection is an error too. An answer beyond a
// bound is an AnswerTooLongError.
func (p *Pool) readAnswer(c *conn, method string) (*Answer, *http.Response, error) {
	ans, resp, err := readBounded(c, method, &p.longBodies)
	var tooLong *AnswerTooLongError
	if errors.As(err, &tooLong) {
		p.tooLong[tooLong.Part].Add(1)
	}
	return ans, resp, err
}

// readBounded is readAnswer, without counting.
func readBounded(c *conn, method string, long *longBodies) (*Answer, *http.Response, error) {
	ans, resp, err := readWithin(c, method, long)
	if err != nil && c.bounded.left <= 0 {
		err = &AnswerTooLongError{Part: c.bounded.part} // net/http replaces some errors of reads
	}
	return ans, resp, err
}

// readWithin reads an answer within the bounds of c.bounded.
func readWithin(c *conn, method string, long *longBodies) (*Answer, *http.Response, error) {
	c.bounded.allow(PartHead, maxHeadBytes)
	for informational := 0; ; informational++ {
		if informational > maxInformational {
			return nil, nil, &AnswerTooLongError{Part: PartInformational}
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue // the answer follows
		}
		c.bounded.allow(PartBody, maxBodyWireBytes)
		body, err := readBody(resp, long)
		if err != nil {
			return nil, nil, err
		}
		return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, resp, nil
	}
}

// readBody reads the body of an answer.
func readBody(resp *http.Response, long *longBodies) ([]byte, error) {
	// The answer to a HEAD request states a length, but has no body.
	if resp.Body == http.NoBody || resp.ContentLength < 0 || resp.ContentLength > maxPreparedBytes {
		return readLong(resp.Body, long)
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return nil, err
	}
	return body, nil
}

// readLong reads a body that may be long or of unknown length.
func readLong(r io.Reader, long *longBodies) ([]byte, error) {
	reserved := 0
	defer func() { long.release(reserved) }()
	body := make([]byte, 0, firstBodyBytes)
	for {
		if len(body) > maxAnswerBytes {
			return nil, &AnswerTooLongError{Part: PartBody}
		}
		if len(body) == cap(body) {
			size := min(2*cap(body), maxAnswerBytes+1)
			if size > maxPreparedBytes {
				if !long.reserve(size - reserved) {
					return nil, &AnswerTooLongError{Part: PartLongBodies}
				}
				reserved = size
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
