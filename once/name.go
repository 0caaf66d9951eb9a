package once

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Kind is the platform's kind of the objects that hold claims.
const Kind = "claims"

// window is the span of time of the keys in one segment. It is part of the
// stored form: VMs that disagree on it would claim one key in two places.
const window = time.Second

// segmentName returns the one object that may hold the claims of keys made at
// that time. Names sort by deployment and then by time, which lets the cleaner
// read from the oldest.
func segmentName(deployment string, made time.Time) string {
	return fmt.Sprintf("%s%010d", prefix(deployment), made.Unix())
}

func prefix(deployment string) string { return deployment + "." }

// windowEnd returns the end of a segment's window, which is later than the
// time of each key in it.
func windowEnd(deployment, name string) (time.Time, bool) {
	start, ok := strings.CutPrefix(name, prefix(deployment))
	if !ok {
		return time.Time{}, false
	}
	seconds, err := strconv.ParseInt(start, 10, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.Unix(seconds, 0).Add(window), true
}

// claimID returns the name of a key within its segment. Keys of two searches
// are apart.
func claimID(search string, key Key) string { return search + "/" + key.String() }
