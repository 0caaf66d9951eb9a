package place

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
)

// noneEnded is an Options.Ended that reports no process as ended.
func noneEnded(string, string) bool { return false }

// options returns the options of a VM's first process, by which no process has ended.
func options(store *platformsim.Store, vm string) Options {
	return Options{Store: store, Deployment: "d", VM: vm, Incarnation: vm + "-1", Ended: noneEnded}
}

// TestConcurrentClaims: a whole fleet starts at the same time, with as many places as
// VMs. Two VMs with one place would together open more connections than a target
// accepts. Each VM must get a place of its own, and one further VM none until a place is
// released.
func TestConcurrentClaims(t *testing.T) {
	g := NewWithT(t)
	store := platformsim.NewStore()
	const places = 20
	held := make([]*Held, places)
	var wg sync.WaitGroup
	for i := range places {
		wg.Go(func() {
			var err error
			if held[i], err = Acquire(context.Background(), options(store, fmt.Sprint("vm-", i)), places); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	seen := map[int]bool{}
	for _, h := range held {
		g.Expect(seen[h.Place]).To(BeFalse(), "place %d twice", h.Place)
		seen[h.Place] = true
	}
	_, err := Acquire(context.Background(), options(store, "late"), places)
	g.Expect(errors.Is(err, ErrNoneFree)).To(BeTrue())
	g.Expect(held[3].Release(context.Background())).To(Succeed())
	late, err := Acquire(context.Background(), options(store, "late"), places)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(late.Place).To(Equal(held[3].Place))
	g.Expect(held[3].Release(context.Background())).To(Succeed(), "a second release has no effect")
	g.Expect(late.Lost(context.Background())).To(BeFalse())
}

// TestPlaceOfEndedVM: a VM stops without releasing its place, or is frozen. Once it is
// known to have ended, a new VM must be able to claim the place. If the old one
// continues, it must detect that it has lost the place, and must not be able to release
// it.
func TestPlaceOfEndedVM(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	store := platformsim.NewStore()
	old, err := Acquire(ctx, options(store, "old"), 1)
	g.Expect(err).NotTo(HaveOccurred())
	o := options(store, "new")
	_, err = Acquire(ctx, o, 1)
	g.Expect(errors.Is(err, ErrNoneFree)).To(BeTrue())
	o.Ended = func(vm, incarnation string) bool { return vm == "old" && incarnation == "old-1" }
	fresh, err := Acquire(ctx, o, 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(old.Lost(ctx)).To(BeTrue())
	g.Expect(old.Release(ctx)).To(Succeed())
	g.Expect(fresh.Lost(ctx)).To(BeFalse())
}

// TestClaimWithLostAnswer: the platform stores a claim and its answer is lost. The VM
// tries again. It must find its own claim: a second one would take a place from another VM.
func TestClaimWithLostAnswer(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	store := platformsim.NewStore()
	store.SetFaults(platformsim.Faults{LoseAnswers: 1})
	_, err := Acquire(ctx, options(store, "vm"), 5)
	g.Expect(err).To(HaveOccurred())
	held, err := Acquire(ctx, options(store, "vm"), 5)
	g.Expect(err).NotTo(HaveOccurred())
	claims, err := listClaims(ctx, options(store, "vm"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(claims).To(HaveLen(1))
	g.Expect(claims).To(HaveKey(held.Place))
}
