// Package site holds stand-ins of a small installation: the platform's store and balancer, leafs and clients, beside
// daemons that run as processes.
package site

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record writes what happens to record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the time since the start, in seconds.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Site is an installation.
type Site struct {
	*Record
	Store  *Store
	Ledger *Ledger
	Leafs  []*Leaf
	VMs    []*VM
	Dir    string // temporary folder

	mu    sync.Mutex
	inUse map[*VM]bool // VMs that get new connections
}

// New returns a site with an empty store, which writes to the record at path.
func New(path string) (*Site, error) {
	record, err := NewRecord(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	store, err := NewStore()
	if err != nil {
		return nil, err
	}
	return &Site{Record: record, Store: store, Ledger: NewLedger(), Dir: dir, inUse: make(map[*VM]bool)}, nil
}

// Close ends all processes and removes the temporary folder, unless KEEP is set.
func (s *Site) Close() {
	for _, v := range s.VMs {
		if v.process != nil {
			_ = v.process.Process.Kill()
			v.AwaitExit(2 * time.Second)
		}
	}
	for _, l := range s.Leafs {
		l.End()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.Dir)
	} else {
		fmt.Println(s.Dir)
	}
	s.Record.Close()
}

// AddLeaf starts a leaf that is born now and writes its entry.
func (s *Site) AddLeaf(l *Leaf) error {
	l.Ledger, l.Born = s.Ledger, time.Now().UnixMilli()
	if err := l.Start(); err != nil {
		return err
	}
	s.Leafs = append(s.Leafs, l)
	s.Store.Put("servers", l.ID, l.Entry("ready", 1))
	return nil
}

// AddVM starts a VM.
func (s *Site) AddVM(name, zone string, more func(map[string]any)) error {
	v, err := NewVM(s.Dir, name, zone, s.Store.Address(), more)
	if err != nil {
		return err
	}
	s.VMs = append(s.VMs, v)
	return v.Start()
}

// Balance asks each VM once per second whether it is ready, until ctx ends. After two misses a VM gets no new
// connections until it is ready again.
func (s *Site) Balance(ctx context.Context) {
	for _, v := range s.VMs {
		go func() {
			misses := 0
			for ctx.Err() == nil {
				if v.IsReady() {
					misses = 0
				} else {
					misses++
				}
				s.mu.Lock()
				s.inUse[v] = misses < 2 && (misses == 0 || s.inUse[v])
				s.mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
	}
}

// Pick returns the n-th of the VMs that get new connections, counted in a circle. These are all VMs if none is ready.
func (s *Site) Pick(n int) *VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*VM
	for _, v := range s.VMs {
		if s.inUse[v] {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		list = s.VMs
	}
	return list[n%len(list)]
}

// Answer is what a client saw of one attempt.
type Answer struct {
	ID            string
	VM            *VM
	Sent, Ended   time.Time
	Refused       bool // no connection could be opened
	Cut           bool // the connection ended without a complete answer
	TimedOut      bool // the client's time was over
	Status        int
	Header        http.Header
	Body          []byte
	Err           error
	Kept          bool // the attempt was sent on a connection that had carried another one
	Method, Route string
}

// Conn is a client's connection.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	VM     *VM
	used   bool
}

// Dial opens a connection to a VM.
func Dial(v *VM) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", v.Callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, reader: bufio.NewReader(conn), VM: v}, nil
}

// Do sends one attempt and reads its answer. It reports whether the connection may carry another one.
func (c *Conn) Do(id, method, target string, more string, body []byte, wait time.Duration) (ans Answer, open bool) {
	ans = Answer{ID: id, VM: c.VM, Sent: time.Now(), Kept: c.used, Method: method, Route: target}
	c.used = true
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nBramleybarrow-Attempt-Id: %s\r\nBramleybarrow-Deadline-Ms: %d\r\n%s", method, target, id, wait.Milliseconds(), more)
	if body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.SetDeadline(ans.Sent.Add(wait))
	_, err := c.Write(append([]byte(head+"\r\n"), body...))
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	if err == nil {
		ans.Status, ans.Header = resp.StatusCode, resp.Header
		ans.Body, err = io.ReadAll(resp.Body)
	}
	ans.Ended = time.Now()
	if err != nil {
		timeout, ok := err.(net.Error)
		ans.TimedOut = ok && timeout.Timeout()
		ans.Cut, ans.Err = !ans.TimedOut, err
		return ans, false
	}
	return ans, !resp.Close
}

// Main runs a script: its only argument is the path of the record, and TROUBLE=0 leaves the disruption out. It returns
// the exit code.
func Main(play func(s *Site, trouble bool) (int, error)) int {
	if len(os.Args) != 2 {
		fmt.Println("the only argument is the path of the record")
		return NotRun
	}
	s, err := New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return NotRun
	}
	defer s.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	s.Printf("trouble: %v", trouble)
	code, err := play(s, trouble)
	if err != nil {
		s.Printf("not run: %v", err)
		fmt.Println(err)
		return NotRun
	}
	return code
}
