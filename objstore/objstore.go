// Package objstore is the one way in which bramleybarrow reaches the platform:
// its object store with versions, conditional updates and watches, and its list
// of VMs. Store is the interface; Client speaks the platform's HTTP interface.
package objstore

import (
	"context"
	"errors"
)

// MaxValue is the largest value, in bytes, that the platform holds.
const MaxValue = 1 << 20

// Object is one stored value.
type Object struct {
	Kind    string
	Name    string
	Version uint64 // rises with each write of this object; 0 means absent
	Value   []byte
}

// Event tells that an object changed. It is a hint: events can be lost,
// repeated, reordered or withheld, so the truth is a read of the object.
type Event struct {
	Kind     string
	Name     string
	Version  uint64
	Revision uint64 // of the store, rises with each write to it
	Deleted  bool
}

// Page is a part of a listing, in the order of names.
type Page struct {
	Objects  []Object
	Revision uint64 // of the store at the time of the read
	More     bool   // further names follow the last one
}

// WatchResult is the answer to one call of Watch.
type WatchResult struct {
	Events   []Event
	Revision uint64 // to be passed to the next call
}

// VM is an entry of the platform's list. The list lags.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"` // of the inner protocol, IP and port
	Ops     string `json:"ops"`     // of the operators' page, IP and port
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// The errors of a Store. Any other error, a timeout among them, leaves it
// unknown whether a write took effect.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object store: object not found")
	// ErrConflict means that the object's version is another than expected, and
	// that this write did not take effect. After a lost answer it may still
	// speak of the caller's own earlier write.
	ErrConflict = errors.New("object store: version conflict")
	// ErrTooLarge means that the value exceeds MaxValue; nothing was written.
	ErrTooLarge = errors.New("object store: value too large")
	// ErrBusy means that the platform refused the call before running it.
	ErrBusy = errors.New("object store: rate limit reached")
)

// Store is the platform's object store. Implementations are safe for
// concurrent use. Each call, a waiting watch as one, counts against the
// platform's rates.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns up to limit objects of the kind whose names follow after.
	List(ctx context.Context, kind, after string, limit int) (Page, error)
	// Put writes value if the object's version is expect, where 0 means that
	// the object must not exist, and returns the new version. It returns
	// ErrConflict if the version is another.
	Put(ctx context.Context, kind, name string, expect uint64, value []byte) (uint64, error)
	// Delete removes the object if its version is expect.
	Delete(ctx context.Context, kind, name string, expect uint64) error
	// Watch waits until an object of the kind changes after the store's
	// revision since, or until the platform's own wait ends, and then returns
	// what changed, if anything.
	Watch(ctx context.Context, kind string, since uint64) (WatchResult, error)
	// VMs returns the platform's lagging list of VMs.
	VMs(ctx context.Context) ([]VM, error)
}
