package faultproxy

import (
	"net"
	"regexp"
	"time"
)

const (
	// maxHelloBytes bounds what is read of a connection to find its client's name.
	maxHelloBytes = 4 << 10
	// helloTimeout bounds the wait for it.
	helloTimeout = 2 * time.Second
)

// helloVMPattern finds the VM that a hello of the inner protocol comes from.
var helloVMPattern = regexp.MustCompile(`"vm":"([^"]*)"`)

// readClientName reads from a client until its hello has named it, and returns the
// name, empty if there is none, and all that was read.
func readClientName(client net.Conn) (name string, read []byte) {
	_ = client.SetReadDeadline(time.Now().Add(helloTimeout))
	defer client.SetReadDeadline(time.Time{})
	buf := make([]byte, maxHelloBytes)
	for len(read) < maxHelloBytes {
		n, err := client.Read(buf[len(read):])
		read = buf[:len(read)+n]
		if found := helloVMPattern.FindSubmatch(read); found != nil {
			return string(found[1]), read
		}
		if err != nil {
			break
		}
	}
	return "", read
}
