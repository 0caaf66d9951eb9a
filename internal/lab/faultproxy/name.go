package faultproxy

import (
	"net"
	"regexp"
	"time"
)

const (
	// maxHelloBytes bounds the bytes that are read from a connection to find its client's name.
	maxHelloBytes = 4 << 10
	// helloTimeout bounds the time in which a client's name must arrive on a connection.
	helloTimeout = 2 * time.Second
)

// helloVMPattern matches the name of the sending VM in a hello message of the protocol between
// VMs.
var helloVMPattern = regexp.MustCompile(`"vm":"([^"]*)"`)

// readClientName reads from a client until its hello message names it. It returns the name,
// which is empty if none was found, and all bytes that were read.
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
