// Package objstore is the only access of bramleybarrow to the platform: to its
// object store with versions, conditional updates and watches, and to its list of
// VMs. Store is the interface; Client implements it over the platform's HTTP API.
package objstore

import (
	"context"
	"errors"
)

// MaxValue is the size of the largest value, in bytes, that the platform stores.
const MaxValue = 1 << 20

// Object is one stored value.
type Object struct {
	Kind    string // the collection that the object belongs to
	Name    string // unique within the kind
	Version uint64 // increases with each write of this object; 0 means that it does not exist
	Value   []byte // JSON
}

// Event reports that an object changed. It is a hint: events can be lost, repeated,
// reordered or withheld. Only a read of the object returns its actual state.
type Event struct {
	Kind     string
	Name     string
	Version  uint64 // of the object after the change
	Revision uint64 // of the store after the change; increases with each write to the store
	Deleted  bool   // the change deleted the object
}

// Page is a part of a listing, in name order.
type Page struct {
	Objects  []Object
	Revision uint64 // of the store at the time of the read
	More     bool   // more objects follow the last one
}

// WatchResult is the result of one call of Store.Watch.
type WatchResult struct {
	Events   []Event
	Revision uint64 // of the store, up to which changes are reported; pass it as since to the next call of Watch
}

// VM is an entry of the platform's list of VMs. The list may be out of date.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP and port for connections from other VMs
	Ops     string `json:"ops"`     // IP and port of the operators' page
	Zone    string `json:"zone"`    // availability zone
	Leaving bool   `json:"leaving"` // the VM is about to stop
}

// The errors of a Store. After any other error, including a timeout, it is unknown
// whether a write took effect.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object store: object not found")
	// ErrConflict means that the object's version differs from the expected one,
	// and that this write did not take effect. After a lost answer, the conflict
	// may be with the caller's own earlier write.
	ErrConflict = errors.New("object store: version conflict")
	// ErrTooLarge means that the value exceeds MaxValue; nothing was written.
	ErrTooLarge = errors.New("object store: value too large")
	// ErrBusy means that the platform refused the call before running it.
	ErrBusy = errors.New("object store: rate limit reached")
)

// Store is the platform's object store, with its list of VMs. Implementations are
// safe for concurrent use. Each call counts against the platform's rate limits; a
// watch counts as one call, however long it waits.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns, in name order, up to limit objects of the kind whose names
	// are greater than after.
	List(ctx context.Context, kind, after string, limit int) (Page, error)
	// Put writes value if the object's version is expectedVersion, and returns
	// the new version. An expectedVersion of 0 means that the object must not
	// exist. Put returns ErrConflict if the version differs.
	Put(ctx context.Context, kind, name string, expectedVersion uint64, value []byte) (uint64, error)
	// Delete deletes the object if its version is expectedVersion. It returns
	// ErrNotFound if the object does not exist, and ErrConflict if its version differs.
	Delete(ctx context.Context, kind, name string, expectedVersion uint64) error
	// Watch returns the changes of objects of the kind after since, which is a
	// revision of the store. If there is no change yet, Watch waits for one. It
	// returns without changes when the platform's own wait limit has passed.
	Watch(ctx context.Context, kind string, since uint64) (WatchResult, error)
	// VMs returns the platform's list of VMs, which may be out of date.
	VMs(ctx context.Context) ([]VM, error)
}
