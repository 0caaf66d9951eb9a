package once

import (
	"context"
	"flag"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

// TestMain fixes the seed of the property tests and checks that no goroutine
// outlives its Runner.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

// startRunner starts the Runner of a VM with the given name, with options that the
// change functions may adjust. The Runner is closed at the end of the test.
func startRunner(t *testing.T, store objstore.Store, name string, change ...func(*Options)) *Runner {
	opts := Options{Store: store, VM: name, Incarnation: "1", CallTimeout: 5 * time.Second, ClaimWait: 10 * time.Second, OutcomeWait: 10 * time.Second, FleetWriteRate: 70000}
	for _, f := range change {
		f(&opts)
	}
	r := NewRunner(opts)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = r.Close(ctx)
	})
	return r
}

// serial is the number in the last key that request returned.
var serial atomic.Int64

// request returns a request with a new key and the given digest of its payload.
func request(digest string) Request {
	key, err := ParseKey(fmt.Sprintf("%d-key%08d", time.Now().Unix(), serial.Add(1)))
	if err != nil {
		panic(err)
	}
	return Request{Deployment: "vatnsleit", Search: "withdrawal-report", Key: key, Digest: digest}
}

// work stands for a request that a target runs: its method run, a function for
// Runner.Run, counts its calls and returns out.
type work struct {
	ran atomic.Int64 // number of calls of run
	out Outcome
}

// acceptedWork returns work with the outcome that the target accepted the request.
func acceptedWork() *work {
	return &work{out: Outcome{Code: result.Accepted, Result: []byte(`{"filed":"<1>"}`)}}
}

// run counts the call and returns w.out. It is passed to Runner.Run.
func (w *work) run(context.Context) Outcome {
	w.ran.Add(1)
	return w.out
}

// Guards against a second run of a request that a caller sends twice. The second
// request must get the stored outcome, also at another VM. If its payload differs, it
// must be rejected, because its caller used the key for another request.
func TestDuplicateRequestGetsStoredOutcome(t *testing.T) {
	g := NewWithT(t)
	store := newFaultStore(1)
	a, b := startRunner(t, store, "a"), startRunner(t, store, "b")
	w := acceptedWork()
	req := request("d1")

	g.Expect(a.Run(t.Context(), req, w.run)).To(Equal(w.out))
	again := b.Run(t.Context(), req, w.run)
	g.Expect(again.Replayed).To(BeTrue())
	g.Expect(again.Code).To(Equal(result.Accepted))
	g.Expect(string(again.Result)).To(Equal(`{"filed":"<1>"}`))
	g.Expect(w.ran.Load()).To(BeEquivalentTo(1))

	req.Digest = "d2"
	g.Expect(b.Run(t.Context(), req, w.run).Code).To(Equal(result.KeyReused))
	g.Expect(w.ran.Load()).To(BeEquivalentTo(1))
}
