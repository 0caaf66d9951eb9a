// Command case-stop stops a daemon while a client reuses an open connection. It exits with 1 if the
// request on it was handed to a leaf and its connection closed without an answer, with 0 if it was
// answered, and with 2 if the case could not be played.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/bramleybarrow/bramleybarrow/review/lab"
)

// Times of the case.
const (
	work       = 1300 * time.Millisecond // of the request at its leaf
	sendAfter  = 4100 * time.Millisecond // from SIGTERM to the request
	grace      = 6 * time.Second         // from SIGTERM to SIGKILL
	rounds     = 3
	maxWaiting = 10 * time.Second
)

const manifest = `{"version":1,"routes":[
	{"name":"ledger","host":"h.example","path-prefix":"/ledger/","kind":"non_idempotent","timeout-ms":15000,"target-latency-ms":800,"priority":2,"service":"ledger","max-attempts":2}],
	"services":[{"name":"ledger","health-path":"/health","max-connections":110}],
	"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

func main() { lab.Main(play) }

// play plays the rounds and reports whether the rule was broken.
func play(c *lab.Case) (bool, error) {
	lost := 0
	for i := range rounds {
		cut, err := playRound(c, i)
		if err != nil {
			return false, err
		}
		if cut {
			lost++
		}
	}
	c.Conclude("requests %d, handed to a leaf and cut off %d", rounds, lost)
	return lost > 0, nil
}

// playRound plays one round and reports whether the request was cut off.
func playRound(lc *lab.Case, round int) (bool, error) {
	d, err := lc.NewDeployment()
	if err != nil {
		return false, err
	}
	defer d.Close()
	record := lc.Record
	for _, zone := range []string{"a", "b"} {
		leaf := &lab.Leaf{ID: fmt.Sprintf("i-%s-%d", zone, round), Service: "ledger", Zone: zone, Slots: 3, Queue: 12, Work: work, Record: record}
		if err := leaf.Start(); err != nil {
			return false, err
		}
		defer leaf.Stop()
		d.Store.Put("servers", leaf.ID, leaf.Entry("ready"))
	}
	d.Store.Put("config", "main", manifest)
	for i, zone := range []string{"a", "a", "b"} {
		if _, err := d.AddVM(fmt.Sprintf("vm-%s-%d", zone, i), zone, d.Store.Address()); err != nil {
			return false, err
		}
	}
	if err := d.AwaitReady(maxWaiting); err != nil {
		return false, err
	}
	vm := d.VMs[0]
	c, err := dial(vm.Settings.Listen.Callers, record)
	if err != nil {
		return false, err
	}
	defer c.conn.Close()
	if status, err := c.send(fmt.Sprintf("r%d-before", round)); err != nil || status != http.StatusOK {
		return false, fmt.Errorf("request before the stop: status %d, %v", status, err)
	}
	if lc.Trouble {
		vm.Signal(syscall.SIGTERM)
		record.Printf("SIGTERM to %s", vm.Settings.Name)
		kill := time.AfterFunc(grace, func() { vm.Signal(syscall.SIGKILL) })
		defer kill.Stop()
	}
	time.Sleep(sendAfter)
	status, err := c.send(fmt.Sprintf("r%d-during", round))
	if lc.Trouble {
		<-vm.Exited()
		record.Printf("%s has exited", vm.Settings.Name)
	}
	if err != nil {
		record.Printf("LOST r%d-during: %v", round, err)
		return true, nil
	}
	return false, checkStatus(status)
}

// checkStatus returns an error for an answer that a sound client may not get here.
func checkStatus(status int) error {
	if status == http.StatusOK || status == http.StatusServiceUnavailable {
		return nil
	}
	return fmt.Errorf("answer with status %d", status)
}

// caller is a client with one open connection.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
	record *lab.Record
}

// dial opens a client's connection.
func dial(address string, record *lab.Record) (*caller, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn, reader: bufio.NewReader(conn), record: record}, nil
}

// send sends a request on the connection, and returns the status of the complete answer. An error means
// that the connection ended before.
func (c *caller) send(id string) (int, error) {
	c.record.Printf("client sends %s", id)
	if _, err := fmt.Fprintf(c.conn, "POST /ledger/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 6\r\nBramleybarrow-Attempt-Id: %s\r\nBramleybarrow-Deadline-Ms: 15000\r\n\r\nreport", id); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.record.Printf("client's connection ends without an answer to %s: %v", id, err)
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	c.record.Printf("client gets %d for %s, Connection: %s", resp.StatusCode, id, resp.Header.Get("Connection"))
	return resp.StatusCode, nil
}
