package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// Beside the usual way (see relay), the manifest travels between any two VMs, so that it also
// reaches VMs that the store and the readers of their zone don't serve. Versions only rise, so a
// VM may pass on a manifest however old it is.

// Parameters of the exchange.
const (
	// manifestPollInterval is the interval at which a VM whose own source fails asks other VMs.
	manifestPollInterval = time.Second
	// maxNeighbours is how many VMs a VM asks at all. While a third of the VMs is out of touch, one
	// VM in 6,561 has no neighbour that is in touch.
	maxNeighbours = 8
	// polledNeighbours is how many neighbours are asked in a round at most. All have had their turn
	// after three rounds.
	polledNeighbours = 3
	// askedReaders is the number of VMs that read the store among which the one is drawn that is
	// asked because of an unknown key.
	askedReaders = 2
	// heardVersionDelay is the time between hearing of a newer manifest and fetching it. Mostly it
	// arrives by the usual way before that.
	heardVersionDelay = 300 * time.Millisecond
	// askTimeout bounds a question to another VM.
	askTimeout = 400 * time.Millisecond
	// refreshTimeout bounds a refresh.
	refreshTimeout = time.Second
)

// toldVersion returns the version to tell other VMs, 0 if the manifest in force names no tenants.
func (e *Engine) toldVersion() int64 {
	if m := e.inForce.Get(); m != nil && m.KeysRequired {
		return m.Version
	}
	return 0
}

// manifestVersion returns the version of the manifest in force, 0 if there is none.
func (e *Engine) manifestVersion() int64 {
	if m := e.inForce.Get(); m != nil {
		return m.Version
	}
	return 0
}

// hearVersion is called with the version that another VM told, 0 if it told none. If it is newer
// than that of this VM, it is fetched, unless it has arrived otherwise by then.
func (e *Engine) hearVersion(vm string, version int64) {
	if version > e.manifestVersion() && e.currency.setHeardFrom(vm) {
		time.AfterFunc(heardVersionDelay, func() { e.fetchHeard(version) })
	}
}

// setHeardFrom records the latest VM from which a newer manifest can be fetched. It reports whether
// the fetch has to be scheduled, which it has been otherwise.
func (c *currency) setHeardFrom(vm string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.heardFrom == ""
	c.heardFrom = vm
	return first
}

// takeHeardFrom returns the VM from which a newer manifest can be fetched, and allows further fetches to
// be scheduled. If the VM is not in the list of VMs, only its name is known.
func (c *currency) takeHeardFrom() scatter.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := c.heardFrom
	c.heardFrom = ""
	for _, vm := range c.others {
		if vm.Name == name {
			return vm
		}
	}
	return scatter.VM{Name: name}
}

// fetchHeard fetches the manifest from the VM that told a newer version, unless that version is
// in force.
func (e *Engine) fetchHeard(version int64) {
	vm := e.currency.takeHeardFrom()
	if version <= e.manifestVersion() {
		return
	}
	// A failure is counted and logged; the next message of a VM with a newer version tries again.
	e.askVM(context.Background(), vm)
}

// askVM asks another VM for a newer manifest, and puts it in force. It reports whether that VM is in
// touch: it answered, its source works, and its manifest was confirmed as recently as usual.
func (e *Engine) askVM(ctx context.Context, vm scatter.VM) (inTouch bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	began := time.Now()
	var ans manifestAnswer
	err := e.currentPeerClient().follow(ctx, vm, methodNewerManifest, &followCall{Position: e.manifestVersion()}, &ans)
	var m *routing.Manifest
	if err == nil {
		m, err = ans.manifest()
	}
	outcome := "none_newer"
	switch {
	case err != nil:
		outcome = "failed"
		e.log.Debug("asking a VM for the manifest failed", "vm", vm.Name, "error", err)
	case m != nil && e.Offer(m):
		outcome = "newer"
		e.log.Info("manifest in force", "manifest", m.Version, "routes", len(m.Routes), "services", len(m.Services), "vm", vm.Name)
	}
	e.stats.count(`bramley_edge_manifests_from_vms_total{outcome=%q}`, outcome)
	if err != nil || ans.AgeMS == nil {
		return false
	}
	age := time.Duration(*ans.AgeMS) * time.Millisecond
	inTouch = !ans.SourceLost && age <= e.currency.usualAge()
	e.currency.confirm(began, began.Add(-age), inTouch)
	return inTouch
}

// serveNewerManifest serves a VM that asks for a newer manifest than its own. It answers at once,
// and whether the source of this VM works or not.
func (e *Engine) serveNewerManifest(call *followCall) (*manifestAnswer, error) {
	ans := &manifestAnswer{AgeMS: e.confirmationAgeMS(), SourceLost: e.currency.sourceLost()}
	if m, _ := e.feed.current(); m != nil && m.Version > call.Position {
		doc, err := e.feed.document()
		if err != nil {
			return nil, err
		}
		ans.Document = doc
	}
	return ans, nil
}

// confirmationAgeMS returns how long ago the manifest in force was confirmed, in milliseconds, nil
// if it never was. It must be called before the manifest to which it refers is read.
func (e *Engine) confirmationAgeMS() *int64 {
	age, confirmed := e.currency.age(time.Now())
	if !confirmed {
		return nil
	}
	ms := age.Milliseconds() + 1 // rounded up
	return &ms
}

// pollManifests asks other VMs for the manifest, each manifestPollInterval, while that is due (see
// currency.pollDue), until ctx ends.
func (e *Engine) pollManifests(ctx context.Context) {
	for ctx.Err() == nil {
		pause := max(e.currency.bound/2, manifestPollInterval)
		if m := e.inForce.Get(); e.currency.pollDue(time.Now(), m != nil && m.KeysRequired, m == nil) {
			e.askNeighbours(ctx)
			pause = manifestPollInterval
		}
		timer := time.NewTimer(pause*3/4 + rand.N(pause/2))
		select {
		case <-timer.C:
		case <-e.sourceFailed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// askNeighbours asks the next polledNeighbours neighbours for the manifest, one after the other until
// one is in touch. If none is, it asks VMs that have connected to this one and are not in its list: a VM
// that the store turns away soon after its start may know of no other. It reports whether one was in touch.
func (e *Engine) askNeighbours(ctx context.Context) bool {
	for _, vm := range e.currency.nextNeighbours(polledNeighbours) {
		if e.askVM(ctx, vm) {
			return true
		}
	}
	unlisted := e.currency.unlisted(e.currentPeerClient().connectedVMs())
	rand.Shuffle(len(unlisted), func(i, j int) { unlisted[i], unlisted[j] = unlisted[j], unlisted[i] })
	for _, name := range unlisted[:min(len(unlisted), polledNeighbours)] {
		if e.askVM(ctx, scatter.VM{Name: name}) {
			return true
		}
	}
	return false
}

// unlisted returns those of the named VMs that are not in the list of VMs.
func (c *currency) unlisted(names []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(names, func(name string) bool {
		return slices.ContainsFunc(c.others, func(vm scatter.VM) bool { return vm.Name == name })
	})
}

// connectedVMs implements peerClient.
func (p *peerTransport) connectedVMs() []string {
	names := make(map[string]bool)
	for _, conn := range p.server.Conns() {
		names[conn.Peer().VM] = true
	}
	return slices.Collect(maps.Keys(names))
}

// connectedVMs implements peerClient. There are none.
func (noPeerClient) connectedVMs() []string { return nil }

// refreshManifest asks for the newest manifest because of an unknown key, once for all requests that
// wait, and waits for the answer for up to the time wait. It reports whether the answer is still
// missing then. It returns false at once if the manifest was asked for recently.
func (e *Engine) refreshManifest(ctx context.Context, wait time.Duration) (waiting bool) {
	flight, run := e.currency.startRefresh(time.Now())
	if flight == nil {
		return false
	}
	if run {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
			defer cancel()
			outcome := "failed"
			if e.askForNewest(ctx) {
				outcome = "ok"
			}
			e.stats.count(`bramley_edge_manifest_refreshes_total{outcome=%q}`, outcome)
			e.currency.endRefresh()
		}()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-flight:
		return false
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// askForNewest asks a VM that reads the store for the manifest. A VM that reads it itself, and has a
// watch of it, asks its neighbours, which costs no store call, in case that its watch hangs. If no
// VM is in touch, it reads the store. askForNewest reports whether the store or a VM that is in
// touch has answered.
func (e *Engine) askForNewest(ctx context.Context) bool {
	e.mu.Lock()
	readers := e.table.StoreReaders(time.Now())
	e.mu.Unlock()
	if n := min(len(readers.Others), askedReaders); n > 0 && e.askVM(ctx, readers.Others[rand.N(n)]) {
		return true
	}
	return e.askNeighbours(ctx) || readers.Self && e.manifestSource != nil && e.readManifest(ctx)
}

// readManifest reads the manifest from the store and puts it in force. It reports whether the store
// has answered.
func (e *Engine) readManifest(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	began := time.Now()
	m, _, err := e.manifestSource.Manifest(ctx)
	err = storeFailure(err) // the follower reports an invalid manifest
	e.stats.store("refresh_manifest", err)
	if err != nil {
		return false
	}
	if m != nil {
		e.Offer(m)
	}
	e.currency.confirm(began, began, true)
	return true
}

// storeFailure returns nil for an InvalidManifestError, with which the store has answered, and
// otherwise err.
func storeFailure(err error) error {
	if routing.AsInvalid(err) != nil {
		return nil
	}
	return err
}
