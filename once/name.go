package once

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
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

// overflowSegments is how many overflowSegments a second has beside its segment. Like window it is part
// of the stored form.
const overflowSegments = 8

// overflowName returns the object that holds a key whose second's segment is sealed.
// Names of parts follow that of their segment.
func overflowName(segment, id string) string {
	return fmt.Sprintf("%s%s%d", segment, overflowSeparator, xxhash.Sum64String(id)%overflowSegments)
}

const overflowSeparator = "+"

func isOverflow(name string) bool {
	return strings.Contains(name[strings.LastIndex(name, ".")+1:], overflowSeparator)
}

func prefix(deployment string) string { return deployment + "." }

// windowEnd returns the end of a segment's window, which is later than the
// time of each key in it.
func windowEnd(deployment, name string) (time.Time, bool) {
	start, ok := strings.CutPrefix(name, prefix(deployment))
	if !ok {
		return time.Time{}, false
	}
	start, _, _ = strings.Cut(start, overflowSeparator)
	seconds, err := strconv.ParseInt(start, 10, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.Unix(seconds, 0).Add(window), true
}

// claimID returns the name of a key within its segment. Keys of two searches
// are apart.
func claimID(search string, key Key) string { return search + "/" + key.String() }
