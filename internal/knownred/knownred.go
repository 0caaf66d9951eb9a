// Package knownred lets tests pass over faults that are known and not fixed yet.
package knownred

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// listName is the file in the module's root that lists the tests. Each line begins with the name of a
// test and a comma.
const listName = "KNOWN-RED.txt"

// Skip skips a test that the list names. A test calls it before anything else.
func Skip(t *testing.T) {
	t.Helper()
	list, err := os.ReadFile(filepath.Join(moduleRoot(t), listName))
	if os.IsNotExist(err) {
		return // no test is known to fail
	}
	if err != nil {
		t.Fatalf("cannot read the list of tests that are known to fail: %v", err)
	}
	for line := range strings.Lines(string(list)) {
		if name, _, _ := strings.Cut(line, ","); name == t.Name() {
			t.Skipf("known red: %s", line)
		}
	}
}

// moduleRoot returns the nearest folder above the test's own that holds a go.mod.
func moduleRoot(t *testing.T) string {
	t.Helper()
	dir, err := os.Getwd()
	if err != nil {
		t.Fatalf("cannot tell the folder of the test: %v", err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			t.Fatal("no go.mod above the folder of the test")
		}
		dir = parent
	}
}
