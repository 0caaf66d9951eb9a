package once

import (
	"context"
	"errors"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// faultStore is an objstore.Store in memory that fails writes at random by a fixed
// seed, and calls as the test sets its fields. Versions start again at 1 after a
// removal, which is worse than objstoretest allows.
type faultStore struct {
	mu      sync.Mutex                 // guards the fields up to lists
	objects map[string]objstore.Object // by name, of all kinds
	rng     *rand.Rand
	puts    int // number of writes that reached the store
	gets    int // number of reads of objects that reached the store
	lists   int // number of listings that reached the store

	loseAnswer       float64       // share of writes, from 0 to 1, that are applied and return an error
	loseWrite        float64       // share of writes, from 0 to 1, that return an error and are not applied
	lateWrite        float64       // share of writes, from 0 to 1, that return an error and are applied later
	failAll          atomic.Bool   // every call but Watch fails with errLost, and nothing is applied
	failClearedReads atomic.Bool   // reads of objects of ClearedKind fail with errLost
	recovered        atomic.Bool   // tells the test's own hooks to cause no further fault; not read by the store
	failPuts         atomic.Bool   // every Put fails with errLost and is not applied
	latency          time.Duration // that each call but Watch takes

	// beforePut is called at the start of each Put; its error fails the Put.
	beforePut func(name string) error
	// afterPut is called with the result of each Put that no fault affected; its
	// error, if any, replaces the result.
	afterPut func(name string, err error) error
	// delayPut returns true to fail a Put with errLost. It may call apply later to
	// apply the write. All three hooks are called without mu.
	delayPut func(apply func() error) bool

	lateWG sync.WaitGroup // counts writes failed by lateWrite that are not yet applied
	vms    []objstore.VM  // returned by the method VMs
}

// errLost is the error of a call whose request or answer was lost.
var errLost = errors.New("connection reset")

// newFaultStore returns an empty store without faults. seed is that of the random
// faults that the test may set.
func newFaultStore(seed uint64) *faultStore {
	return &faultStore{objects: map[string]objstore.Object{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// simulateCall waits for the latency. It returns an error if failAll is set or ctx has
// ended.
func (s *faultStore) simulateCall(ctx context.Context) error {
	if s.failAll.Load() {
		return errLost
	}
	if s.latency > 0 {
		time.Sleep(s.latency)
	}
	return ctx.Err()
}

// Get returns the object with that name. It uses kind only for failClearedReads.
func (s *faultStore) Get(ctx context.Context, kind, name string) (objstore.Object, error) {
	if err := s.simulateCall(ctx); err != nil {
		return objstore.Object{}, err
	}
	if s.failClearedReads.Load() && kind == ClearedKind {
		return objstore.Object{}, errLost
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets++
	o, ok := s.objects[name]
	if !ok {
		return objstore.Object{}, objstore.ErrNotFound
	}
	return o, nil
}

// Put applies the write, unless one of the faults that the test has set occurs.
func (s *faultStore) Put(ctx context.Context, kind, name string, expect uint64, value []byte) (uint64, error) {
	if s.beforePut != nil {
		if err := s.beforePut(name); err != nil {
			return 0, err
		}
	}
	if err := s.simulateCall(ctx); err != nil {
		return 0, err
	}
	if s.failPuts.Load() {
		return 0, errLost
	}
	if s.delayPut != nil && s.delayPut(func() error { _, err := s.put(kind, name, expect, value); return err }) {
		return 0, errLost
	}
	s.mu.Lock()
	draw := s.rng.Float64()
	delay := time.Duration(s.rng.IntN(20)) * time.Millisecond
	s.mu.Unlock()
	switch {
	case draw < s.loseWrite:
		return 0, errLost
	case draw < s.loseWrite+s.loseAnswer:
		_, _ = s.put(kind, name, expect, value)
		return 0, errLost
	case draw < s.loseWrite+s.loseAnswer+s.lateWrite:
		s.lateWG.Go(func() {
			time.Sleep(delay)
			_, _ = s.put(kind, name, expect, value)
		})
		return 0, errLost
	}
	version, err := s.put(kind, name, expect, value)
	if s.afterPut != nil {
		if err := s.afterPut(name, err); err != nil {
			return 0, err
		}
	}
	return version, err
}

// put applies a write if the object has the expected version, without any fault.
func (s *faultStore) put(kind, name string, expect uint64, value []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	if len(value) > objstore.MaxValue {
		return 0, objstore.ErrTooLarge
	}
	if s.objects[name].Version != expect {
		return 0, objstore.ErrConflict
	}
	s.objects[name] = objstore.Object{Kind: kind, Name: name, Version: expect + 1, Value: value}
	return expect + 1, nil
}

// List returns objects of all kinds.
func (s *faultStore) List(ctx context.Context, kind, after string, limit int) (objstore.Page, error) {
	if err := s.simulateCall(ctx); err != nil {
		return objstore.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	var page objstore.Page
	for name, o := range s.objects {
		if strings.Compare(name, after) > 0 {
			page.Objects = append(page.Objects, o)
		}
	}
	sort.Slice(page.Objects, func(i, j int) bool { return page.Objects[i].Name < page.Objects[j].Name })
	if len(page.Objects) > limit {
		page.Objects, page.More = page.Objects[:limit], true
	}
	return page, nil
}

// Delete removes the object if it has the expected version. Random faults don't apply.
func (s *faultStore) Delete(ctx context.Context, kind, name string, expect uint64) error {
	if err := s.simulateCall(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[name].Version != expect {
		return objstore.ErrConflict
	}
	delete(s.objects, name)
	return nil
}

// Watch never reports a change: it returns an error when ctx ends.
func (s *faultStore) Watch(ctx context.Context, kind string, since uint64) (objstore.WatchResult, error) {
	<-ctx.Done()
	return objstore.WatchResult{}, ctx.Err()
}

// VMs returns the list that the test has set.
func (s *faultStore) VMs(ctx context.Context) ([]objstore.VM, error) {
	return s.vms, s.simulateCall(ctx)
}

// numWaiting returns the number of operations whose reply is outstanding.
func (c *committer) numWaiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// isDown reports whether the committer treats the platform as down.
func (c *committer) isDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= downThreshold
}

// isClosed reports whether close was called.
func (c *committer) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// names returns the sorted names of all objects with the prefix.
func (s *faultStore) names(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// segment decodes the stored segment with the given name.
func (s *faultStore) segment(name string) (segment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return decodeSegment(name, s.objects[name].Value)
}
