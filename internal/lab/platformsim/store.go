// Package platformsim simulates the platform: an object store in memory with versions,
// conditional updates, watches and a list of VMs that can be out of date. Tests can inject faults.
// A Store can be used directly as an objstore.Store, or be served over the platform's HTTP
// interface by its Handler.
package platformsim

import (
	"bytes"
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/objstore"
)

const (
	maxPage          = 1000                  // upper bound of the objects in a page of a listing
	maxPageBytes     = 8 * objstore.MaxValue // upper bound of the total size of a page's values; a larger first value is a page of its own
	defaultWatchWait = 10 * time.Second      // time after which a watch that saw no change is answered
)

// ErrInvalidValue is the error of a Put whose value is not valid JSON.
var ErrInvalidValue = errors.New("platformsim: value is not JSON")

// Store simulates the platform in memory. Create it with NewStore. Its methods are safe for
// concurrent use.
type Store struct {
	mu        sync.Mutex              // guards the fields below
	revision  uint64                  // number of changes so far
	kinds     map[string]*kindObjects // by kind
	watchWait time.Duration           // time after which a watch without a change is answered
	vms       vmList
	faults    faultState
}

// kindObjects holds the objects of one kind. It includes the deleted ones, so that a watch can
// report deletions.
type kindObjects struct {
	byName  map[string]*entry
	changed chan struct{} // closed, and replaced, at each change
}

// entry is one object, or the record of a deleted one.
type entry struct {
	version uint64 // the store's revision at the last change
	deleted bool
	value   []byte
}

var _ objstore.Store = (*Store)(nil)

// NewStore returns an empty store without faults.
func NewStore() *Store {
	return &Store{
		kinds: make(map[string]*kindObjects), watchWait: defaultWatchWait,
		faults: faultState{replaced: make(chan struct{})},
	}
}

// SetWatchWait sets how long a watch waits for a change before it returns without events.
func (s *Store) SetWatchWait(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchWait = d
}

// Get implements objstore.Store. It returns the object, or objstore.ErrNotFound.
func (s *Store) Get(ctx context.Context, kind, name string) (objstore.Object, error) {
	if _, err := s.beginCall(ctx, callGet, kind); err != nil {
		return objstore.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(kind, name)
	if e == nil || e.deleted {
		return objstore.Object{}, errors.Annotatef(objstore.ErrNotFound, "get %s/%s", kind, name)
	}
	return objstore.Object{Kind: kind, Name: name, Version: e.version, Value: bytes.Clone(e.value)}, nil
}

// List implements objstore.Store. It returns a page of the kind's objects whose names sort after
// the given name. The values are compact JSON, as in the HTTP interface: only Get returns a value
// byte for byte as it was written.
func (s *Store) List(ctx context.Context, kind, after string, limit int) (objstore.Page, error) {
	if _, err := s.beginCall(ctx, callList, kind); err != nil {
		return objstore.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := objstore.Page{Revision: s.revision}
	names := s.namesAfter(kind, after)
	if limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	size := 0
	for _, name := range names {
		e := s.entry(kind, name)
		size += len(e.value)
		full := len(page.Objects) == limit || size > maxPageBytes
		if full && len(page.Objects) > 0 {
			page.More = true
			break
		}
		page.Objects = append(page.Objects, objstore.Object{
			Kind: kind, Name: name, Version: e.version, Value: compactJSON(e.value),
		})
	}
	return page, nil
}

// Put implements objstore.Store. It writes the value if the object has the expected version, where
// 0 means that the object doesn't exist, and returns the new version.
func (s *Store) Put(ctx context.Context, kind, name string, expectedVersion uint64, value []byte) (uint64, error) {
	if len(value) > objstore.MaxValue {
		return 0, errors.Annotatef(objstore.ErrTooLarge, "put %s/%s of %d bytes", kind, name, len(value))
	}
	if !json.Valid(value) {
		return 0, errors.Annotatef(ErrInvalidValue, "put %s/%s", kind, name)
	}
	outcome, err := s.beginCall(ctx, callPut, kind)
	if err != nil {
		return 0, err
	}
	version, err := s.applyWrite(outcome, kind, name, expectedVersion, &entry{value: bytes.Clone(value)})
	return version, errors.Annotatef(err, "put %s/%s", kind, name)
}

// Delete implements objstore.Store. It deletes the object if it has the expected version.
func (s *Store) Delete(ctx context.Context, kind, name string, expectedVersion uint64) error {
	outcome, err := s.beginCall(ctx, callDelete, kind)
	if err != nil {
		return err
	}
	_, err = s.applyWrite(outcome, kind, name, expectedVersion, &entry{deleted: true})
	return errors.Annotatef(err, "delete %s/%s", kind, name)
}

// Watch implements objstore.Store. It waits for a change of the kind after the revision since. If
// there is none for as long as SetWatchWait says, it returns without events.
func (s *Store) Watch(ctx context.Context, kind string, since uint64) (objstore.WatchResult, error) {
	if _, err := s.beginCall(ctx, callWatch, kind); err != nil {
		return objstore.WatchResult{}, err
	}
	s.mu.Lock()
	wait := s.watchWait
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		result, changed, silent := s.changesSince(kind, since)
		if silent {
			<-ctx.Done()
			return objstore.WatchResult{}, errors.Trace(ctx.Err())
		}
		if len(result.Events) > 0 {
			return result, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return result, nil
		case <-ctx.Done():
			return objstore.WatchResult{}, errors.Trace(ctx.Err())
		}
	}
}

// changesSince returns the changes of the kind after that revision, a channel that is closed at
// the kind's next change, and whether watches get no answer (Faults.WatchesSilent).
func (s *Store) changesSince(kind string, since uint64) (objstore.WatchResult, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := objstore.WatchResult{Revision: s.revision}
	objs := s.objectsOf(kind)
	for name, e := range objs.byName {
		if e.version > since {
			result.Events = append(result.Events, objstore.Event{
				Kind: kind, Name: name, Version: e.version, Revision: e.version, Deleted: e.deleted,
			})
		}
	}
	sort.Slice(result.Events, func(i, j int) bool {
		return result.Events[i].Revision < result.Events[j].Revision
	})
	return result, objs.changed, s.faults.WatchesSilent
}

// applyWrite performs a write with the given outcome. It returns the new version, or an error if
// the write was refused or its answer is lost.
func (s *Store) applyWrite(outcome writeOutcome, kind, name string, expectedVersion uint64, updated *entry) (uint64, error) {
	switch outcome {
	case outcomeDelayed:
		s.mu.Lock()
		delay := time.Duration(s.faults.LateMS) * time.Millisecond
		s.mu.Unlock()
		time.AfterFunc(delay, func() { s.compareAndSet(kind, name, expectedVersion, updated) })
		return 0, errAnswerLost
	case outcomeAnswerLost:
		s.compareAndSet(kind, name, expectedVersion, updated)
		return 0, errAnswerLost
	default:
		return s.compareAndSet(kind, name, expectedVersion, updated)
	}
}

// compareAndSet replaces the entry of an object if the object has the expected version, where 0
// means that the object doesn't exist. It returns the new version.
func (s *Store) compareAndSet(kind, name string, expectedVersion uint64, updated *entry) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := uint64(0)
	if e := s.entry(kind, name); e != nil && !e.deleted {
		current = e.version
	}
	if updated.deleted && current == 0 {
		return 0, objstore.ErrNotFound
	}
	if current != expectedVersion {
		return 0, objstore.ErrConflict
	}
	s.revision++
	updated.version = s.revision
	objs := s.objectsOf(kind)
	objs.byName[name] = updated
	close(objs.changed)
	objs.changed = make(chan struct{})
	return updated.version, nil
}

// objectsOf returns the objects of the kind. It creates an empty set of them for a new kind. The
// caller must hold mu.
func (s *Store) objectsOf(kind string) *kindObjects {
	objs := s.kinds[kind]
	if objs == nil {
		objs = &kindObjects{byName: make(map[string]*entry), changed: make(chan struct{})}
		s.kinds[kind] = objs
	}
	return objs
}

// entry returns the entry of an object, or nil if there is none. The caller must hold mu.
func (s *Store) entry(kind, name string) *entry { return s.objectsOf(kind).byName[name] }

// namesAfter returns the names of the kind's objects that sort after the given name, in order.
// The caller must hold mu.
func (s *Store) namesAfter(kind, after string) []string {
	var names []string
	for name, e := range s.objectsOf(kind).byName {
		if name > after && !e.deleted {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// compactJSON returns the value without insignificant white space, or a copy of the value if it is
// not valid JSON.
func compactJSON(value []byte) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, value); err != nil {
		return bytes.Clone(value)
	}
	return b.Bytes()
}
