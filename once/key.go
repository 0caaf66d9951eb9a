package once

import (
	"regexp"
	"strconv"
	"time"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// Key is a caller's idempotency key. It carries the time at which the caller
// made it, so that its age is known even after its claim has been cleared.
type Key struct {
	text    string
	created time.Time
}

// keyPattern allows ten digits of seconds at most, which lasts until 2286 and
// keeps the names of segments in the order of time.
var keyPattern = regexp.MustCompile(`^([0-9]{1,10})-([A-Za-z0-9_-]{8,64})$`)

// ParseKey reads a key of the form "<unix seconds>-<8..64 of [A-Za-z0-9_-]>".
// Its errors have code result.KeyRequired.
func ParseKey(s string) (Key, error) {
	if s == "" {
		return Key{}, result.Errorf(result.KeyRequired, "no key was sent")
	}
	parts := keyPattern.FindStringSubmatch(s)
	if parts == nil {
		return Key{}, result.Errorf(result.KeyRequired, "the key %.80q has another form", s)
	}
	seconds, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return Key{}, result.Wrap(result.KeyRequired, err, "the key's time is not a number")
	}
	// One key has one spelling: "07-x" and "7-x" would be two claims.
	text := strconv.FormatInt(seconds, 10) + "-" + parts[2]
	return Key{text: text, created: time.Unix(seconds, 0)}, nil
}

// String returns the key as it is stored.
func (k Key) String() string { return k.text }

// Created returns the time that the key carries.
func (k Key) Created() time.Time { return k.created }
