package lab

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Case is one run of a case.
type Case struct {
	Record  *Record
	Trouble bool // false with TROUBLE=0: the disruption is left out

	binary string // path of the daemon

	mu          sync.Mutex // guards deployments
	deployments []*Deployment
}

// Main plays a case and ends the process: with 1 if play reports that the rule was broken, with 0 if it
// held, and with 2 if the case could not be played.
func Main(play func(c *Case) (broken bool, err error)) {
	binary := flag.String("daemon", "target/bramleyd", "path of the daemon")
	path := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	record, err := NewRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	c := &Case{Record: record, Trouble: os.Getenv("TROUBLE") != "0", binary: *binary}
	c.endDaemonsOnSignal()
	broken, err := play(c)
	record.Close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not be played:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// endDaemonsOnSignal ends the daemons if this process is told to end before the case is over. A closed
// standard output does not end it.
func (c *Case) endDaemonsOnSignal() {
	signal.Ignore(syscall.SIGPIPE)
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-told
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, d := range c.deployments {
			d.Close()
		}
		os.Exit(2)
	}()
}

// Conclude writes the result of the run to the record and to standard output.
func (c *Case) Conclude(format string, args ...any) {
	c.Record.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
