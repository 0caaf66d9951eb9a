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

// segmentWindow is the time span of the keys in one segment. It is part of the
// stored form: VMs with different values would claim one key in two objects.
const segmentWindow = time.Second

// segmentName returns the name of the segment, the stored object that holds the claims
// of all keys that were created within the given second. A segment is sealed as soon as
// a claim does not fit into it, and then accepts no new keys. Only then may overflow
// segments hold claims of keys of the same second, see overflowName. Names sort by
// deployment and then by time, so the cleaner can list the oldest first.
func segmentName(deployment string, created time.Time) string {
	return fmt.Sprintf("%s%010d", deploymentPrefix(deployment), created.Unix())
}

// overflowSegments is the number of overflow segments over which the further keys of
// one second are spread once the second's own segment is sealed. It is part of the
// stored form: VMs with different values would claim one key in two objects.
const overflowSegments = 8

// overflowName returns the name of the overflow segment for the claim with the given
// id, to be used once the given segment is sealed. The name sorts after the name of
// the sealed segment.
func overflowName(segment, id string) string {
	return fmt.Sprintf("%s%s%d", segment, overflowSeparator, xxhash.Sum64String(id)%overflowSegments)
}

// overflowSeparator separates the name of a second's segment from the number of the
// overflow segment.
const overflowSeparator = "+"

// isOverflow reports whether the name is that of an overflow segment.
func isOverflow(name string) bool {
	// Only the part after the deployment is searched. It contains no '.'.
	return strings.Contains(name[strings.LastIndex(name, ".")+1:], overflowSeparator)
}

// deploymentPrefix returns the start of the names of all the deployment's segments.
func deploymentPrefix(deployment string) string { return deployment + "." }

// windowEnd returns the end of the time span of the keys in a segment, which is
// later than the creation of every key in it. It returns false if the name is not
// that of a segment of the deployment.
func windowEnd(deployment, name string) (time.Time, bool) {
	start, ok := strings.CutPrefix(name, deploymentPrefix(deployment))
	if !ok {
		return time.Time{}, false
	}
	start, _, _ = strings.Cut(start, overflowSeparator)
	seconds, err := strconv.ParseInt(start, 10, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.Unix(seconds, 0).Add(segmentWindow), true
}

// claimID returns the id under which the claim of a key is stored in its segment.
// Equal keys of different searches are different claims.
func claimID(search string, key Key) string { return search + "/" + key.String() }
