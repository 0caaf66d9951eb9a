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

// window is the time span of the keys in one segment. It is part of the stored
// form: VMs with different values would claim one key in two objects.
const window = time.Second

// segmentName returns the name of the only object that may hold the claims of keys
// created at that time, unless that segment is sealed; see overflowName. Names sort
// by deployment and then by time, so the cleaner can list the oldest first.
func segmentName(deployment string, made time.Time) string {
	return fmt.Sprintf("%s%010d", prefix(deployment), made.Unix())
}

// overflowSegments is the number of overflow segments that each second has in
// addition to its segment. Like window, it is part of the stored form.
const overflowSegments = 8

// overflowName returns the name of the overflow segment that holds a key if the
// segment of the key's second is sealed. It sorts after the name of that segment.
func overflowName(segment, id string) string {
	return fmt.Sprintf("%s%s%d", segment, overflowSeparator, xxhash.Sum64String(id)%overflowSegments)
}

const overflowSeparator = "+"

func isOverflow(name string) bool {
	return strings.Contains(name[strings.LastIndex(name, ".")+1:], overflowSeparator)
}

func prefix(deployment string) string { return deployment + "." }

// windowEnd returns the end of a segment's window, which is later than the time of
// every key in the segment. It returns false if the name is not that of a segment
// of the deployment.
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

// claimID returns the name of a key within its segment. Equal keys of different
// searches are different claims.
func claimID(search string, key Key) string { return search + "/" + key.String() }
