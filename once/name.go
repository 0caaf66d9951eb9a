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

// Segments are cut by the time that keys carry and by the keys' hash. Both
// numbers are part of the stored form: VMs that disagree on them would claim
// one key in two places.
const (
	window  = 10 * time.Second
	buckets = 4
)

// segmentName returns the one object that may hold the claim of a key. Names
// sort by deployment and then by time, which lets the cleaner read from the
// oldest.
func segmentName(deployment, id string, made time.Time) string {
	seconds := int64(window / time.Second)
	start := made.Unix() / seconds * seconds
	bucket := xxhash.Sum64String(id) % buckets
	return fmt.Sprintf("%s%010d.%d", prefix(deployment), start, bucket)
}

func prefix(deployment string) string { return deployment + "." }

// windowEnd returns the end of a segment's window, which is later than the
// time of each key in it.
func windowEnd(deployment, name string) (time.Time, bool) {
	rest, ok := strings.CutPrefix(name, prefix(deployment))
	if !ok {
		return time.Time{}, false
	}
	start, _, ok := strings.Cut(rest, ".")
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
