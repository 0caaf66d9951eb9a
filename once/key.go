package once

import (
	"regexp"
	"strconv"
	"time"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// Key is a caller's idempotency key. It contains the time at which the caller
// created it, so that its age is known even after its claim has been removed.
type Key struct {
	text    string    // canonical form, as it is stored
	created time.Time // when the caller created the key, by the caller's clock, in whole seconds
}

// keyPattern matches a key: Unix seconds, '-' and a part that the caller chose. It
// allows at most ten digits of seconds, which is enough until the year 2286. So all
// segment names have ten digits of seconds and sort by time.
var keyPattern = regexp.MustCompile(`^([0-9]{1,10})-([A-Za-z0-9_-]{8,64})$`)

// ParseKey parses a key of the form "<unix seconds>-<8..64 of [A-Za-z0-9_-]>".
// Leading zeros of the seconds are dropped. Its errors have the code
// result.KeyRequired.
func ParseKey(s string) (Key, error) {
	if s == "" {
		return Key{}, result.Errorf(result.KeyRequired, "the request has no key")
	}
	parts := keyPattern.FindStringSubmatch(s)
	if parts == nil {
		return Key{}, result.Errorf(result.KeyRequired, "the key %.80q is not of the form <unix seconds>-<8 to 64 characters of A-Z, a-z, 0-9, _ and ->", s)
	}
	seconds, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return Key{}, result.Wrap(result.KeyRequired, err, "the key's time is not a number")
	}
	// Each key has one canonical form. Without it, "07-x" and "7-x" would be two
	// claims.
	text := strconv.FormatInt(seconds, 10) + "-" + parts[2]
	return Key{text: text, created: time.Unix(seconds, 0)}, nil
}

// String returns the key in its canonical form, as it is stored.
func (k Key) String() string { return k.text }

// Created returns the time contained in the key.
func (k Key) Created() time.Time { return k.created }
