package integration

import (
	"encoding/base64"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/peer"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/rollout"
	"github.com/bramleybarrow/bramleybarrow/settings"
)

// searchRotation sends searches in turn to the VMs of the last call of setVMs, as a load
// balancer does.
type searchRotation struct {
	mu       sync.Mutex // guards the fields below
	vms      []*fleet.Daemon
	next     int      // number of searches begun; determines the next VM
	failures []string // a description of each search without a complete answer
	complete int      // number of complete answers
}

func (r *searchRotation) setVMs(vms ...*fleet.Daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.vms = vms
}

// choose returns the next VM in turn.
func (r *searchRotation) choose() *fleet.Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return r.vms[r.next%len(r.vms)]
}

// startSearches sends searches from several concurrent callers until stop is called. stop
// returns the number of complete answers and a description of every other result, both
// since the rotation was made.
func (c *cluster) startSearches(r *searchRotation) (stop func() (complete int, failures []string)) {
	const callers = 4
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					r.search(c)
				}
			}
		})
	}
	return func() (int, []string) {
		close(done)
		wg.Wait()
		return r.complete, r.failures
	}
}

// search sends one search to the next VM in turn and records the result.
func (r *searchRotation) search(c *cluster) {
	d := r.choose()
	a, status, err := d.Search(c.ctx, findSearch, searchBody("well"))
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		r.failures = append(r.failures, fmt.Sprintf("%s: %v", d.Name, err))
	case result.Code(a.Code) == result.Complete:
		r.complete++
	default:
		r.failures = append(r.failures, fmt.Sprintf("%s: status %d, code %d", d.Name, status, a.Code))
	}
}

// All VMs are replaced one after another under load. Each new VM runs beside the old one
// for a while, and the platform's list of VMs lags. If the VMs together opened more
// connections than a target accepts, it would refuse some and searches would fail. The sum
// of all VMs' connections must stay within each target's limit at all times, and no search
// may be cut off.
func TestAllVMsReplacedUnderLoad(t *testing.T) {
	const daemons, connections, listLag = 4, 25, 3 * time.Second
	c := start(t, clusterConfig{
		Daemons:  daemons,
		LameDuck: time.Second,
		Bundle: func(b *bundle.Bundle) {
			b.Fleet.MaxVMs = daemons + 1 // one VM more during a replacement
			for i := range b.Services[0].Targets {
				b.Services[0].Targets[i].Connections = connections
			}
		},
	})
	rotation := &searchRotation{}
	rotation.setVMs(c.Daemons...)
	stop := c.startSearches(rotation)
	c.replaceVMs(rotation, listLag)
	complete, failures := stop()
	c.Expect(failures).To(gomega.BeEmpty())
	c.Expect(complete).To(gomega.BeNumerically(">", 0))
	for _, target := range c.Targets {
		counts := must[struct{ Peak, Refused int }](c)(connectionCounts(target))
		t.Logf("%s: peak of %d connections, limit %d, %d refused", target.Name, counts.Peak, connections, counts.Refused)
		c.Expect(counts.Peak).To(gomega.BeNumerically("<=", connections))
		c.Expect(counts.Refused).To(gomega.BeZero())
	}
}

// connectionCounts returns the highest number of connections that the target had open at
// once, and how many it refused.
func connectionCounts(target *fleet.Target) (counts struct{ Peak, Refused int }, err error) {
	counters, err := target.Counters()
	counts.Peak = counters.Connections.Peak
	counts.Refused = counters.Connections.Refused
	return counts, err
}

// joinExchange joins the daemons' exchange from this process, as a VM called "member".
func (c *cluster) joinExchange() *peer.Exchange {
	set := must[*settings.Settings](c)(settings.Load(c.Daemons[0].SettingsPath))
	key := must[[]byte](c)(base64.StdEncoding.DecodeString(set.FleetKeys[0]))
	x := must[*peer.Exchange](c)(peer.New(peer.Options{
		VM: objstore.VM{Name: "member", Zone: zone}, Incarnation: "member-1",
		Deployment: deployment, FleetKeys: [][]byte{key}, Listen: "127.0.0.1:0",
		Store: objstore.NewClient(c.Platform.Address, objstore.ClientOptions{}),
		Heads: rollout.NewFollower(rollout.Options{Deployment: deployment, Keys: c.Keyring()}),
	}))
	c.ok(x.Start())
	c.t.Cleanup(func() { _ = x.Stop(c.ctx) })
	c.Eventually(x.Peers, waitTimeout, "50ms").Should(gomega.BeNumerically(">", 0))
	return x
}

// Only one VM gets the information that a target drains; the target itself reports
// nothing. The other VMs would go on sending requests to a target that is being stopped.
// Within a few seconds all VMs must stop sending it requests, while all answers are
// complete, and only a new incarnation of the target may get requests again.
func TestDrainReceivedFromPeerOnly(t *testing.T) {
	c := start(t, clusterConfig{Daemons: 3, Targets: 3, Replicas: 3})
	draining := c.Targets[0]
	counters, err := draining.Counters()
	c.ok(err)
	c.joinExchange().PublishDrain(peer.Drain{Target: draining.Name, Incarnation: counters.Incarnation})
	started := func() int {
		n, err := draining.Counters()
		c.ok(err)
		return n.Searches
	}
	// Wait for a round of searches by every VM of which none reaches the target.
	c.Eventually(func() int {
		before := started()
		c.searchEverywhere()
		return started() - before
	}, waitTimeout, "100ms").Should(gomega.BeZero())
	for range 5 {
		before := started()
		c.searchEverywhere()
		c.Expect(started()).To(gomega.Equal(before), "searches at a draining target")
	}

	draining.Kill()
	options := draining.Options
	options.Listen = draining.Address
	fresh, err := c.StartTarget(options)
	c.ok(err)
	c.Eventually(func() int {
		c.searchEverywhere()
		n, err := fresh.Counters()
		c.ok(err)
		return n.Searches
	}, waitTimeout, "100ms").Should(gomega.BeNumerically(">", 0), "no searches at the new incarnation")
}

// searchEverywhere sends five searches to every VM and expects complete answers.
func (c *cluster) searchEverywhere() {
	c.t.Helper()
	for _, d := range c.Daemons {
		for range 5 {
			a, _, err := d.Search(c.ctx, findSearch, searchBody("well"))
			c.ok(err)
			c.Expect(result.Code(a.Code)).To(gomega.Equal(result.Complete), d.Name)
		}
	}
}

// After a power loss all VMs but one start without any state while the platform is still
// down. Each new VM has the address of only one other VM, in a chain. All must get the
// bundle from their peers; otherwise only one VM would serve users.
func TestFleetStartsWithPlatformDown(t *testing.T) {
	c := start(t, clusterConfig{Daemons: 1})
	c.ok(c.Platform.SetFaults(platformsim.Faults{Outage: true}))
	seed := c.Daemons[0]
	for i := range 4 {
		fresh, err := c.StartDaemon(fleet.DaemonOptions{
			Name: fmt.Sprint("fresh-", i), Zone: zone, EditSettings: withSeeds(seed.Peers),
		})
		c.ok(err)
		c.Daemons = append(c.Daemons, fresh)
		seed = fresh
	}
	for _, d := range c.Daemons {
		c.waitInForce(d, 1)
	}
	// Each knows more VMs than the one in its settings.
	for _, d := range c.Daemons {
		c.Eventually(func() (int, error) {
			status, err := d.Status(c.ctx)
			return status.Peers, err
		}, waitTimeout, "100ms").Should(gomega.BeNumerically(">=", 2), d.Name)
	}
}

// replaceVMs replaces every VM, one after another. The rotation gets a new VM once that
// VM answers from all shards. The platform's list of VMs follows after lag.
func (c *cluster) replaceVMs(rotation *searchRotation, lag time.Duration) {
	c.t.Helper()
	for i := range c.Daemons {
		fresh, err := c.StartDaemon(fleet.DaemonOptions{Name: fmt.Sprint("new-", i), Zone: zone, LameDuck: time.Second})
		c.ok(err)
		c.waitInForce(fresh, 1)
		c.waitComplete(fresh)
		old := c.Daemons[0]
		c.Daemons = append(c.Daemons[1:], fresh)
		c.ok(old.Terminate())
		rotation.setVMs(c.Daemons...)
		c.listVMsAfter(lag)
		c.Eventually(old.Done(), waitTimeout).Should(gomega.BeClosed())
	}
}
