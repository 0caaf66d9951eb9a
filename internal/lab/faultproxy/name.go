package faultproxy

import (
	"net"
	"regexp"
	"time"
)

const (
	// nameLimit bounds what is read of a connection to find its client's name.
	nameLimit = 4 << 10
	// nameTimeout bounds the wait for it.
	nameTimeout = 2 * time.Second
)

// vmInHello finds the VM that a hello of the inner protocol comes from.
var vmInHello = regexp.MustCompile(`"vm":"([^"]*)"`)

// readName reads from a client until its hello has named it, and returns the
// name, empty if there is none, and all that was read.
func readName(client net.Conn) (name string, read []byte) {
	_ = client.SetReadDeadline(time.Now().Add(nameTimeout))
	defer client.SetReadDeadline(time.Time{})
	buf := make([]byte, nameLimit)
	for len(read) < nameLimit {
		n, err := client.Read(buf[len(read):])
		read = buf[:len(read)+n]
		if found := vmInHello.FindSubmatch(read); found != nil {
			return string(found[1]), read
		}
		if err != nil {
			break
		}
	}
	return "", read
}
