// Package objstoretest contains the tests that every objstore.Store must pass.
package objstoretest

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// testTimeout bounds each wait for an event that must happen.
const testTimeout = 20 * time.Second

// Run runs all tests, each on a store of its own. open must return an empty store.
func Run(t *testing.T, open func(t *testing.T) objstore.Store) {
	tests := []struct {
		name string
		test func(context.Context, *gomega.WithT, objstore.Store)
	}{
		{"absent object", testAbsentObject},
		{"create, replace, delete", testCreateReplaceDelete},
		{"version is never reused", testVersionIncreases},
		{"value returned byte for byte", testExactValue},
		{"names with special characters", testSpecialCharacters},
		{"value too large", testTooLarge},
		{"one of several concurrent writers succeeds", testConcurrentPuts},
		{"listing in pages", testListPages},
		{"watch returns on a change", testWatchReturnsOnChange},
		{"watch returns an earlier change", testWatchReturnsEarlierChange},
		{"watch returns a deletion", testWatchReturnsDeletion},
		{"watch ends with its context", testWatchEndsWithContext},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			tt.test(ctx, gomega.NewWithT(t), open(t))
		})
	}
}

// A read or deletion of an object that does not exist must return ErrNotFound, and a
// write that expects a version of it ErrConflict.
func testAbsentObject(ctx context.Context, g *gomega.WithT, s objstore.Store) {
	_, err := s.Get(ctx, "k", "none")
	g.Expect(err).To(gomega.MatchError(objstore.ErrNotFound))
	g.Expect(s.Delete(ctx, "k", "none", 1)).To(gomega.MatchError(objstore.ErrNotFound))
	_, err = s.Put(ctx, "k", "none", 1, []byte(`1`))
	g.Expect(err).To(gomega.MatchError(objstore.ErrConflict))
	page, err := s.List(ctx, "k", "", 10)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(page.Objects).To(gomega.BeEmpty())
}

// A write or a deletion with another version than the stored one must fail and change
// nothing, or one VM could overwrite the claim or change of another.
func testCreateReplaceDelete(ctx context.Context, g *gomega.WithT, s objstore.Store) {
	v1 := put(ctx, g, s, "a", 0, `1`)
	_, err := s.Put(ctx, "k", "a", 0, []byte(`2`))
	g.Expect(err).To(gomega.MatchError(objstore.ErrConflict))
	v2 := put(ctx, g, s, "a", v1, `3`)
	_, err = s.Put(ctx, "k", "a", v1, []byte(`4`))
	g.Expect(err).To(gomega.MatchError(objstore.ErrConflict))
	obj, err := s.Get(ctx, "k", "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(obj).To(gomega.Equal(objstore.Object{Kind: "k", Name: "a", Version: v2, Value: []byte(`3`)}))
	g.Expect(s.Delete(ctx, "k", "a", v1)).To(gomega.MatchError(objstore.ErrConflict))
	g.Expect(s.Delete(ctx, "k", "a", v2)).To(gomega.Succeed())
	_, err = s.Get(ctx, "k", "a")
	g.Expect(err).To(gomega.MatchError(objstore.ErrNotFound))
}

// An object is deleted and created again. If its version were reused, a conditional
// write that expects the deleted object could overwrite the new one.
func testVersionIncreases(ctx context.Context, g *gomega.WithT, s objstore.Store) {
	last := uint64(0)
	for range 3 {
		v := put(ctx, g, s, "a", 0, `1`)
		g.Expect(v).To(gomega.BeNumerically(">", last))
		g.Expect(s.Delete(ctx, "k", "a", v)).To(gomega.Succeed())
		last = v
	}
}

// Get must return a value byte for byte as it was written. A listing may reformat its
// JSON.
func testExactValue(ctx context.Context, g *gomega.WithT, s objstore.Store) {
	value := "{ \"b\": 1,\n\t\"a\": \"<&>\" }"
	put(ctx, g, s, "a", 0, value)
	obj, err := s.Get(ctx, "k", "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(obj.Value)).To(gomega.Equal(value))
	page, err := s.List(ctx, "k", "", 10)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(page.Objects).To(gomega.HaveLen(1))
	g.Expect(page.Objects[0].Value).To(gomega.MatchJSON(value))
}

// A name may contain characters that have a meaning in a URL. Without escaping, the
// write would fail or concern another object.
func testSpecialCharacters(ctx context.Context, g *gomega.WithT, s objstore.Store) {
	for _, name := range []string{"a/b", "a b", "a%2Fb", "é", "a?b#c", "..", "a+b"} {
		v := put(ctx, g, s, name, 0, `1`)
		obj, err := s.Get(ctx, "k", name)
		g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		g.Expect(obj.Version).To(gomega.Equal(v), name)
	}
}

// A value of MaxValue bytes must be stored. A larger one must be refused with
// ErrTooLarge, and nothing be written.
func testTooLarge(ctx context.Context, g *gomega.WithT, s objstore.Store) {
	largest := `"` + strings.Repeat("x", objstore.MaxValue-2) + `"`
	put(ctx, g, s, "most", 0, largest)
	_, err := s.Put(ctx, "k", "more", 0, []byte(`"x`+largest[1:]))
	g.Expect(err).To(gomega.MatchError(objstore.ErrTooLarge))
	_, err = s.Get(ctx, "k", "more")
	g.Expect(err).To(gomega.MatchError(objstore.ErrNotFound))
}

// Several writers expect the same version at the same time. If two of them succeeded,
// two VMs could win one claim, or one of two changes would be lost.
func testConcurrentPuts(ctx context.Context, g *gomega.WithT, s objstore.Store) {
	version := put(ctx, g, s, "a", 0, `1`)
	var succeeded atomic.Int32
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			if _, err := s.Put(ctx, "k", "a", version, []byte(`2`)); err == nil {
				succeeded.Add(1)
			}
		})
	}
	wg.Wait()
	g.Expect(succeeded.Load()).To(gomega.Equal(int32(1)))
}

// Guards against a listing that skips or repeats objects at the end of a page, or that
// contains objects of another kind.
func testListPages(ctx context.Context, g *gomega.WithT, s objstore.Store) {
	var want []string
	for i := range 7 {
		name := fmt.Sprintf("n%d", i)
		put(ctx, g, s, name, 0, `1`)
		want = append(want, name)
	}
	_, err := s.Put(ctx, "other", "n9", 0, []byte(`1`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var got []string
	after, more := "", true
	for more {
		page, err := s.List(ctx, "k", after, 3)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(page.Objects).NotTo(gomega.BeEmpty())
		for _, o := range page.Objects {
			got = append(got, o.Name)
		}
		after, more = got[len(got)-1], page.More
	}
	g.Expect(got).To(gomega.Equal(want))
}

// A waiting watch must return when an object of its kind changes, and must not report
// changes of other kinds.
func testWatchReturnsOnChange(ctx context.Context, g *gomega.WithT, s objstore.Store) {
	v1 := put(ctx, g, s, "a", 0, `1`)
	got := make(chan objstore.WatchResult, 1)
	go func() {
		if change, err := s.Watch(ctx, "k", v1); err == nil {
			got <- change
		}
	}()
	_, err := s.Put(ctx, "other", "x", 0, []byte(`1`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	v2 := put(ctx, g, s, "a", v1, `2`)
	var change objstore.WatchResult
	g.Eventually(got, testTimeout).Should(gomega.Receive(&change))
	g.Expect(change.Events).To(gomega.HaveLen(1))
	g.Expect(change.Events[0].Name).To(gomega.Equal("a"))
	g.Expect(change.Events[0].Version).To(gomega.Equal(v2))
	g.Expect(change.Revision).To(gomega.BeNumerically(">=", change.Events[0].Revision))
}

// An object changes between a listing and a watch since the listing's revision. If the
// watch did not report the change, the caller would miss it.
func testWatchReturnsEarlierChange(ctx context.Context, g *gomega.WithT, s objstore.Store) {
	page, err := s.List(ctx, "k", "", 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	put(ctx, g, s, "a", 0, `1`)
	change, err := s.Watch(ctx, "k", page.Revision)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(change.Events).To(gomega.HaveLen(1))
}

// A watch must report a deletion, or its caller would keep a deleted object.
func testWatchReturnsDeletion(ctx context.Context, g *gomega.WithT, s objstore.Store) {
	v := put(ctx, g, s, "a", 0, `1`)
	g.Expect(s.Delete(ctx, "k", "a", v)).To(gomega.Succeed())
	change, err := s.Watch(ctx, "k", v)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(change.Events).To(gomega.HaveLen(1))
	g.Expect(change.Events[0].Deleted).To(gomega.BeTrue())
}

// A watch must end when its context is canceled, or a VM could not stop while it waits.
func testWatchEndsWithContext(ctx context.Context, g *gomega.WithT, s objstore.Store) {
	watchCtx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() {
		_, err := s.Watch(watchCtx, "k", 0)
		ended <- err
	}()
	cancel()
	g.Eventually(ended, testTimeout).Should(gomega.Receive(gomega.HaveOccurred()))
}

// put writes an object of kind "k", which must succeed, and returns its new version.
func put(ctx context.Context, g *gomega.WithT, s objstore.Store, name string, expectedVersion uint64, value string) uint64 {
	v, err := s.Put(ctx, "k", name, expectedVersion, []byte(value))
	g.Expect(err).NotTo(gomega.HaveOccurred(), name)
	g.Expect(v).To(gomega.BeNumerically(">", expectedVersion), name)
	return v
}
