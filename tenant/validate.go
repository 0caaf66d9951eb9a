package tenant

import (
	"fmt"
	"math"
	"strings"
)

// InvalidError says what is wrong with a list of tenants. It holds no API key.
type InvalidError struct {
	Tenant string // name of the tenant; empty if it has none
	Index  int    // place of the tenant in the list, from 0
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("tenant %d %q: %s", e.Index, e.Tenant, e.Reason)
}

// Validate returns an *InvalidError for the first fault of a list of tenants: a name that is empty,
// used twice or can't be sent in a header, a key that is empty or held by two tenants, or a limit
// that is negative or not finite.
func Validate(tenants []Tenant) error {
	names := make(map[string]bool, len(tenants))
	holders := make(map[Digest]int, len(tenants))
	for i, t := range tenants {
		invalid := func(format string, args ...any) error {
			return &InvalidError{Tenant: t.Name, Index: i, Reason: fmt.Sprintf(format, args...)}
		}
		switch {
		case t.Name == "":
			return invalid("no name")
		case !isHeaderValue(t.Name):
			return invalid("the name has control characters, or spaces at its ends")
		case names[t.Name]:
			return invalid("the name is used twice")
		case !isBound(t.Limit.RatePerS):
			return invalid("rate %v is not a finite number from 0", t.Limit.RatePerS)
		case !isBound(t.Limit.Burst):
			return invalid("burst %v is not a finite number from 0", t.Limit.Burst)
		}
		names[t.Name] = true
		for n, key := range t.Keys {
			if key == emptyKey {
				return invalid("key %d is empty", n)
			}
			if holder, held := holders[key]; held && holder != i {
				return invalid("key %d is also a key of tenant %q", n, tenants[holder].Name)
			}
			holders[key] = i
		}
	}
	return nil
}

// emptyKey is the digest of the empty API key.
var emptyKey = DigestOf("")

// isBound reports whether a rate or a burst is valid.
func isBound(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// isHeaderValue reports whether a name arrives unchanged as the value of a header.
func isHeaderValue(name string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return strings.TrimSpace(name) == name && strings.IndexFunc(name, isControl) < 0
}
