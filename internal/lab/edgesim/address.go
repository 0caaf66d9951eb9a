package edgesim

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports for processes that listen later. They lie below the range from which the kernel
// takes the ports of outgoing connections: one of those takes a port that was free a
// moment ago, and the process that was to listen there ends.
const (
	firstPort = 20000
	portCount = 12000
)

var (
	returnedPortsMu sync.Mutex // guards ports
	returnedPorts   = make(map[int]bool)
)

// FreeAddress returns a loopback IP and a port that nobody listens on and that it has
// not returned before.
func FreeAddress() (string, error) {
	returnedPortsMu.Lock()
	defer returnedPortsMu.Unlock()
	var last error
	for range portCount {
		port := firstPort + rand.IntN(portCount)
		if returnedPorts[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			last = err
			continue
		}
		returnedPorts[port] = true
		return address, l.Close()
	}
	return "", fmt.Errorf("edgesim: no free port: %w", last)
}
