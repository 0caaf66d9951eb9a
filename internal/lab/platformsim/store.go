// Package platformsim is a small stand-in for the platform: an object store in
// memory with versions, conditional updates, watches and a lagging list of VMs,
// with faults that tests set. Store can be used directly as a objstore.Store,
// or served over the platform's HTTP interface by Handler.
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

// Bounds of a listing and of the platform's own wait.
const (
	maxPage          = 1000
	maxPageBytes     = 8 * objstore.MaxValue
	defaultWatchWait = 10 * time.Second
)

// ErrValue means that a value is not JSON.
var ErrValue = errors.New("platformsim: value is not JSON")

// Store is the platform in memory. Create it with NewStore. All its methods
// are safe for concurrent use.
type Store struct {
	mu       sync.Mutex // guards all below
	revision uint64
	kinds    map[string]*objects
	wait     time.Duration
	vms      vmList
	faults   faultState
}

// objects are those of one kind, removed ones included, so that a watch can
// tell of a removal.
type objects struct {
	byName  map[string]*entry
	changed chan struct{} // closed, and replaced, at each change
}

type entry struct {
	version uint64 // the store's revision at the last change
	deleted bool
	value   []byte
}

var _ objstore.Store = (*Store)(nil)

// NewStore returns an empty store without faults.
func NewStore() *Store {
	return &Store{kinds: make(map[string]*objects), wait: defaultWatchWait}
}

// SetWatchWait sets how long a watch waits for a change before it answers that
// there was none.
func (s *Store) SetWatchWait(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wait = d
}

// Get implements objstore.Store.
func (s *Store) Get(ctx context.Context, kind, name string) (objstore.Object, error) {
	if _, err := s.begin(ctx, callGet, kind); err != nil {
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

// List implements objstore.Store. Its values are compacted, as by the HTTP
// interface: only Get returns a value byte by byte as it was written.
func (s *Store) List(ctx context.Context, kind, after string, limit int) (objstore.Page, error) {
	if _, err := s.begin(ctx, callList, kind); err != nil {
		return objstore.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := objstore.Page{Revision: s.revision}
	names := s.names(kind, after)
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
			Kind: kind, Name: name, Version: e.version, Value: compacted(e.value),
		})
	}
	return page, nil
}

// Put implements objstore.Store.
func (s *Store) Put(ctx context.Context, kind, name string, expect uint64, value []byte) (uint64, error) {
	if len(value) > objstore.MaxValue {
		return 0, errors.Annotatef(objstore.ErrTooLarge, "put %s/%s of %d bytes", kind, name, len(value))
	}
	if !json.Valid(value) {
		return 0, errors.Annotatef(ErrValue, "put %s/%s", kind, name)
	}
	fate, err := s.begin(ctx, callPut, kind)
	if err != nil {
		return 0, err
	}
	version, err := s.carryOut(fate, kind, name, expect, &entry{value: bytes.Clone(value)})
	return version, errors.Annotatef(err, "put %s/%s", kind, name)
}

// Delete implements objstore.Store.
func (s *Store) Delete(ctx context.Context, kind, name string, expect uint64) error {
	fate, err := s.begin(ctx, callDelete, kind)
	if err != nil {
		return err
	}
	_, err = s.carryOut(fate, kind, name, expect, &entry{deleted: true})
	return errors.Annotatef(err, "delete %s/%s", kind, name)
}

// Watch implements objstore.Store.
func (s *Store) Watch(ctx context.Context, kind string, since uint64) (objstore.WatchResult, error) {
	if _, err := s.begin(ctx, callWatch, kind); err != nil {
		return objstore.WatchResult{}, err
	}
	s.mu.Lock()
	wait := s.wait
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		change, changed, silent := s.since(kind, since)
		if silent {
			<-ctx.Done()
			return objstore.WatchResult{}, errors.Trace(ctx.Err())
		}
		if len(change.Events) > 0 {
			return change, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return change, nil
		case <-ctx.Done():
			return objstore.WatchResult{}, errors.Trace(ctx.Err())
		}
	}
}

// since returns the changes of the kind after that revision, and a channel
// that is closed at the next one.
func (s *Store) since(kind string, since uint64) (objstore.WatchResult, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := objstore.WatchResult{Revision: s.revision}
	objs := s.kind(kind)
	for name, e := range objs.byName {
		if e.version > since {
			change.Events = append(change.Events, objstore.Event{
				Kind: kind, Name: name, Version: e.version, Revision: e.version, Deleted: e.deleted,
			})
		}
	}
	sort.Slice(change.Events, func(i, j int) bool {
		return change.Events[i].Revision < change.Events[j].Revision
	})
	return change, objs.changed, s.faults.WatchesSilent
}

// carryOut makes a change as its fate will have it.
func (s *Store) carryOut(f fate, kind, name string, expect uint64, to *entry) (uint64, error) {
	switch f {
	case fateLate:
		s.mu.Lock()
		delay := time.Duration(s.faults.LateMS) * time.Millisecond
		s.mu.Unlock()
		time.AfterFunc(delay, func() { s.change(kind, name, expect, to) })
		return 0, errAnswerLost
	case fateLoseAnswer:
		s.change(kind, name, expect, to)
		return 0, errAnswerLost
	default:
		return s.change(kind, name, expect, to)
	}
}

// change replaces an entry if its version is expect.
func (s *Store) change(kind, name string, expect uint64, to *entry) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := uint64(0)
	if e := s.entry(kind, name); e != nil && !e.deleted {
		have = e.version
	}
	if to.deleted && have == 0 {
		return 0, objstore.ErrNotFound
	}
	if have != expect {
		return 0, objstore.ErrConflict
	}
	s.revision++
	to.version = s.revision
	objs := s.kind(kind)
	objs.byName[name] = to
	close(objs.changed)
	objs.changed = make(chan struct{})
	return to.version, nil
}

// kind returns the objects of that kind. The caller must hold mu.
func (s *Store) kind(kind string) *objects {
	objs := s.kinds[kind]
	if objs == nil {
		objs = &objects{byName: make(map[string]*entry), changed: make(chan struct{})}
		s.kinds[kind] = objs
	}
	return objs
}

// entry returns the entry or nil. The caller must hold mu.
func (s *Store) entry(kind, name string) *entry { return s.kind(kind).byName[name] }

// names returns the names of the kind after that one, in order. The caller
// must hold mu.
func (s *Store) names(kind, after string) []string {
	var names []string
	for name, e := range s.kind(kind).byName {
		if name > after && !e.deleted {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func compacted(value []byte) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, value); err != nil {
		return bytes.Clone(value)
	}
	return b.Bytes()
}
