package rolloutbench

import (
	"context"
	goerrors "errors"
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/faultproxy"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/rollout"
)

// rolloutObjective is the time within which a rollout should be in force on all VMs.
const rolloutObjective = 2 * time.Second

// scenario is a fault under which rollouts are measured. Its functions may be nil.
type scenario struct {
	name       string
	begin      func(b *bench) error // sets the fault before the first rollout
	beforeEach func(b *bench) error // called before each rollout
	afterEach  func(b *bench) error // called after each rollout as soon as the platform has accepted it
	end        func(b *bench) error // clears the fault after the last rollout
}

// setPlatformFaults returns a function that replaces the platform's faults by f.
func setPlatformFaults(f platformsim.Faults) func(*bench) error {
	return func(b *bench) error { return b.platform.SetFaults(f) }
}

// cutOffFirst returns a function that cuts off the first n VMs from the platform and
// reconnects the others. With n = 0 the function reconnects all VMs.
func cutOffFirst(n int) func(*bench) error {
	return func(b *bench) error {
		for i, p := range b.proxies {
			if err := p.SetFaults(faultproxy.Faults{Frozen: i < n}); err != nil {
				return errors.Trace(err)
			}
		}
		return nil
	}
}

// outageTime is the length of a platform outage in the scenario in which the platform is
// down after the acceptance of each rollout.
const outageTime = 3 * time.Second

// clearPlatformFaults ends all faults of the platform.
var clearPlatformFaults = setPlatformFaults(platformsim.Faults{})

// scenarios are all scenarios in the order of the table.
var scenarios = []scenario{
	{name: "healthy"},
	{name: "watches silent", begin: setPlatformFaults(platformsim.Faults{WatchesSilent: true}), end: clearPlatformFaults},
	{name: "platform slow, 200 ms each call", begin: setPlatformFaults(platformsim.Faults{SlowMS: 200}), end: clearPlatformFaults},
	{name: "answer to the head's write lost", beforeEach: setPlatformFaults(platformsim.Faults{LoseAnswers: 1, WriteKind: rollout.KindHead}), end: clearPlatformFaults},
	{name: "all open connections silent", beforeEach: func(b *bench) error {
		for _, p := range b.proxies {
			if err := p.Silence(); err != nil {
				return errors.Trace(err)
			}
		}
		return nil
	}},
	{name: "one VM cut off from the platform", begin: cutOffFirst(1), end: cutOffFirst(0)},
	{name: "all VMs but one cut off", begin: func(b *bench) error { return cutOffFirst(b.opts.VMs - 1)(b) }, end: cutOffFirst(0)},
	{name: "watches silent, platform slow and one VM cut off",
		begin: func(b *bench) error {
			if err := cutOffFirst(1)(b); err != nil {
				return err
			}
			return b.platform.SetFaults(platformsim.Faults{WatchesSilent: true, SlowMS: 200})
		},
		end: func(b *bench) error { return errors.Trace(goerrors.Join(cutOffFirst(0)(b), clearPlatformFaults(b))) }},
	{name: fmt.Sprintf("platform down for %s after acceptance", outageTime),
		afterEach: func(b *bench) error {
			if err := b.platform.SetFaults(platformsim.Faults{Outage: true}); err != nil {
				return errors.Trace(err)
			}
			time.AfterFunc(outageTime, func() { _ = b.platform.SetFaults(platformsim.Faults{}) })
			return nil
		},
		beforeEach: func(b *bench) error {
			time.Sleep(outageTime) // until the outage after the previous rollout has ended
			return nil
		},
		end: func(b *bench) error {
			time.Sleep(outageTime)
			return b.platform.SetFaults(platformsim.Faults{})
		}},
}

// scenarioPause is the pause between scenarios. It is longer than the timeout of a
// watch in the platform's client. A watch that got no answer in one scenario therefore
// ends before the next scenario.
const scenarioPause = objstore.DefaultWatchTimeout + 2*time.Second

// maxOutageRollouts bounds the number of rollouts in a scenario with afterEach, which has
// to wait for the end of an outage after each rollout.
const maxOutageRollouts = 20

// measure performs the rollouts of one scenario, prints its row of the table, clears the
// fault and waits for scenarioPause.
func (b *bench) measure(ctx context.Context, s scenario) error {
	rollouts := b.opts.Rollouts
	if s.afterEach != nil {
		rollouts = min(rollouts, maxOutageRollouts)
	}
	if err := b.callIfSet(s.begin); err != nil {
		return errors.Trace(err)
	}
	before, err := b.platform.Counters()
	if err != nil {
		return errors.Trace(err)
	}
	var times []time.Duration
	for i := range rollouts {
		took, err := b.rollOut(ctx, s, i)
		if err != nil {
			return errors.Annotatef(err, "rollout %d", i)
		}
		times = append(times, took)
	}
	after, err := b.platform.Counters()
	if err != nil {
		return errors.Trace(err)
	}
	b.printRow(s, times, float64(totalCalls(after)-totalCalls(before))/float64(rollouts))
	if err := b.callIfSet(s.end); err != nil {
		return errors.Trace(err)
	}
	select {
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-time.After(scenarioPause):
		return nil
	}
}

// callIfSet calls f, a function of a scenario, unless f is nil.
func (b *bench) callIfSet(f func(*bench) error) error {
	if f == nil {
		return nil
	}
	return f(b)
}

// rollOut performs rollout i of a scenario, counted from 0. It returns the time from the
// write of the head, the signed object that names the bundle in force, until the revision
// was in force on the last VM.
func (b *bench) rollOut(ctx context.Context, s scenario, i int) (time.Duration, error) {
	if err := b.callIfSet(s.beforeEach); err != nil {
		return 0, errors.Trace(err)
	}
	entry, err := b.client.Rollout(ctx, b.digests[i%len(b.digests)], rollout.Request{Reason: s.name})
	if err != nil {
		return 0, errors.Trace(err)
	}
	sentAt := b.store.headSentAt
	if err := b.callIfSet(s.afterEach); err != nil {
		return 0, errors.Trace(err)
	}
	lastInForce, err := b.waitForAll(ctx, entry.Revision)
	return lastInForce.Sub(sentAt), errors.Trace(err)
}

// totalCalls returns the number of calls of all types to the platform.
func totalCalls(c platformsim.Counters) int {
	return c.Get + c.List + c.Put + c.Delete + c.Watch + c.VMs
}

// printRow prints the table's row of one scenario. Times, which printRow sorts, has the
// time of each rollout.
func (b *bench) printRow(s scenario, times []time.Duration, callsPerRollout float64) {
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	overObjective := 0
	for _, t := range times {
		if t > rolloutObjective {
			overObjective++
		}
	}
	quantile := func(q float64) time.Duration { return times[int(math.Ceil(q*float64(len(times))))-1] }
	ms := func(d time.Duration) string { return fmt.Sprintf("%.0f", float64(d.Microseconds())/1000) }
	fmt.Fprintf(b.opts.Out, "| %s | %s | %s | %s | %.0f | %d of %d |\n",
		s.name, ms(quantile(0.5)), ms(quantile(0.99)), ms(times[len(times)-1]), callsPerRollout, overObjective, len(times))
}
