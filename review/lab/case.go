package lab

import (
	"flag"
	"fmt"
	"os"
)

// Case is one run of a case.
type Case struct {
	Record  *Record
	Trouble bool // false with TROUBLE=0: the disruption is left out

	binary string // path of the daemon
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
	broken, err := play(&Case{Record: record, Trouble: os.Getenv("TROUBLE") != "0", binary: *binary})
	record.Close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not be played:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// Conclude writes the result of the run to the record and to standard output.
func (c *Case) Conclude(format string, args ...any) {
	c.Record.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
