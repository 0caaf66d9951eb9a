package rollout

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// errLost is the error of a call whose request or response was lost.
var errLost = errors.New("response lost")

// faultyStore is a store that delays each call at random, and whose writes may not
// arrive, lose their response or arrive late.
type faultyStore struct {
	objstore.Store
	mu         sync.Mutex      // guards rng
	rng        *rand.Rand      // decides on the faults and pauses
	lateWrites *sync.WaitGroup // counts the writes that have not arrived yet
}

// newFaultyStore returns a faultyStore over store, with random faults by the seed.
func newFaultyStore(store objstore.Store, seed uint64, lateWrites *sync.WaitGroup) *faultyStore {
	return &faultyStore{Store: store, rng: rand.New(rand.NewPCG(seed, seed)), lateWrites: lateWrites}
}

// randIntN returns a random number from 0 to n-1.
func (s *faultyStore) randIntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// pause sleeps for a random time below 1.5 ms.
func (s *faultyStore) pause() { time.Sleep(time.Duration(s.randIntN(1500)) * time.Microsecond) }

// Get fails with errLost in one of 10 calls.
func (s *faultyStore) Get(ctx context.Context, kind, name string) (objstore.Object, error) {
	s.pause()
	if s.randIntN(10) == 0 {
		return objstore.Object{}, errLost
	}
	return s.Store.Get(ctx, kind, name)
}

// Put fails with errLost in half of the calls: the write does not arrive, its response is
// lost, or it arrives late.
func (s *faultyStore) Put(ctx context.Context, kind, name string, expectedVersion uint64, value []byte) (uint64, error) {
	s.pause()
	switch s.randIntN(6) {
	case 0: // the write does not arrive
		return 0, errLost
	case 1: // the response is lost
		_, _ = s.Store.Put(ctx, kind, name, expectedVersion, value)
		return 0, errLost
	case 2: // the write arrives late
		s.lateWrites.Add(1)
		go func() {
			defer s.lateWrites.Done()
			s.pause()
			s.pause()
			_, _ = s.Store.Put(context.Background(), kind, name, expectedVersion, value)
		}()
		return 0, errLost
	}
	return s.Store.Put(ctx, kind, name, expectedVersion, value)
}

// crashStore simulates an operator's program that is stopped at a write: this write
// and all calls after it fail.
type crashStore struct {
	objstore.Store
	writesLeft int  // number of writes that still succeed before one fails
	applyLast  bool // the write that fails takes effect all the same
	down       bool // all calls fail; set by the write that fails
}

// Get reads from Store. It fails with errLost once the store is down.
func (s *crashStore) Get(ctx context.Context, kind, name string) (objstore.Object, error) {
	if s.down {
		return objstore.Object{}, errLost
	}
	return s.Store.Get(ctx, kind, name)
}

// Put writes to Store while writesLeft is above 0. The next write sets down, and it and
// all later ones fail with errLost.
func (s *crashStore) Put(ctx context.Context, kind, name string, expectedVersion uint64, value []byte) (uint64, error) {
	if s.down {
		return 0, errLost
	}
	if s.writesLeft > 0 {
		s.writesLeft--
		return s.Store.Put(ctx, kind, name, expectedVersion, value)
	}
	s.down = true
	if s.applyLast {
		_, _ = s.Store.Put(ctx, kind, name, expectedVersion, value)
	}
	return 0, errLost
}

// staleStore is a store that returns a head that the test sets, like a lagging store or
// one that was restored from an old copy.
type staleStore struct {
	objstore.Store
	mu   sync.Mutex       // guards head
	head *objstore.Object // returned by Get instead of the head in Store, unless it is nil
}

// setHead sets the head that Get returns. With nil, Get returns the head in Store.
func (s *staleStore) setHead(obj *objstore.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = obj
}

// Get returns the head that the test has set, if any, in place of the one in Store.
func (s *staleStore) Get(ctx context.Context, kind, name string) (objstore.Object, error) {
	s.mu.Lock()
	head := s.head
	s.mu.Unlock()
	if kind == KindHead && head != nil {
		return *head, nil
	}
	return s.Store.Get(ctx, kind, name)
}
