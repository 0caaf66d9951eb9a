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

func noneEnded(string, string) bool { return false }

func options(store *platformsim.Store, vm string) Options {
	return Options{Store: store, Deployment: "d", VM: vm, Incarnation: vm + "-1", Ended: noneEnded}
}

// TestConcurrentClaims: a whole fleet starts at the same moment, with as
// many places as VMs. Two VMs in one place would together hold more connections
// than a target takes; each must get one of its own, and one VM more none.
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
	g.Expect(held[3].Release(context.Background())).To(Succeed(), "a second release harms nobody")
	g.Expect(late.Lost(context.Background())).To(BeFalse())
}

// TestPlaceOfEndedVM: a VM dies without giving its place back, or is frozen. Once
// it is known to be gone a new VM takes the place; the old one, when it runs on,
// finds that it lost it, and can't give away what is no longer its own.
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

// TestClaimWithLostAnswer: the platform takes the claim and its answer is lost.
// The VM asks again and must find its own claim, not take a second place.
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
