package edgesim

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// The range of ports that FreeAddress returns. It lies below the range from which the kernel chooses
// the local ports of outgoing connections. Otherwise an outgoing connection could get a port that
// FreeAddress returned, and the process that is to listen on the port would then fail to start.
const (
	firstPort = 20000 // lowest port that FreeAddress returns
	portCount = 12000 // FreeAddress chooses from this many ports, from firstPort on
)

var (
	returnedPortsMu sync.Mutex           // guards returnedPorts
	returnedPorts   = make(map[int]bool) // ports that FreeAddress has returned
)

// FreeAddress returns a loopback IP and a port that no process listens on and that it has not
// returned before in this process. It returns an error if it finds none. It is safe for concurrent
// use.
func FreeAddress() (string, error) {
	returnedPortsMu.Lock()
	defer returnedPortsMu.Unlock()
	var lastErr error
	for range portCount {
		port := firstPort + rand.IntN(portCount)
		if returnedPorts[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			lastErr = err
			continue
		}
		returnedPorts[port] = true
		return address, l.Close()
	}
	return "", fmt.Errorf("edgesim: no free port: %w", lastErr)
}
