package edgesim

import (
	"net"
	"testing"
	"time"
)

// Close must not wait forever for a call that is held by StoreFaults.Silent. The server does not
// detect that the caller has disconnected while the body of the call is unread.
func TestSilentStoreCanBeClosed(t *testing.T) {
	s := NewStore(10)
	s.SetFaults(StoreFaults{Silent: true})
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("POST /bramleybarrow/objects/x HTTP/1.1\r\nHost: s\r\nContent-Length: 10\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	for s.Calls("POST", "x") == 0 {
		time.Sleep(time.Millisecond)
	}
	closed := make(chan struct{})
	go func() {
		s.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the store was not closed within 10 s")
	}
}
