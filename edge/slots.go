package edge

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/fairshare"
	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/slotbook"
)

// Account of slots: one VM names the leaf for each request to a service that has fewer slots than
// there are VMs. See docs/design/slots.md.

// Methods between VMs about slots. Calls are rare, so their parameters are JSON.
const (
	methodReserveSlot = "reserve_slot" // asks a keeper for a leaf; from slotCall to slotAnswer
	methodAwaitSlot   = "await_slot"   // waits for the leaf of a request that the keeper lets wait; from slotWait to slotAnswer
	methodEndSlot     = "end_slot"     // a notification that a request which was given a leaf has ended; a slotEnd
)

// Parameters of the account of slots.
const (
	// askTimeShare and minAskTime bound the wait for a keeper's answer: a share of the request's
	// latency objective, and at least a time. The way to a VM of another zone takes up to 2 ms.
	askTimeShare = 0.02
	minAskTime   = 5 * time.Millisecond
	// keptInterval is the time between two looks for the services whose slots are kept and for
	// their keepers, and between two probes of a VM that gave no answer.
	keptInterval = time.Second
	// maxKeptServices bounds the services whose slots are kept, and so the connections that a VM
	// has to keepers. The first ones by name are.
	maxKeptServices = 16
)

// slotKeeping asks keepers of slots, and is one for some services. It is safe for concurrent use. A
// nil *slotKeeping does nothing.
type slotKeeping struct {
	e *Engine

	mu      sync.Mutex                 // guards the fields below; never locked together with Engine.mu
	books   map[string]*slotbook.Book  // by service: accounts that this VM keeps
	waiting map[slotbook.ID]slotWaiter // requests that this VM lets wait as a keeper
	kept    map[string]bool            // services whose slots are kept
	silent  map[string]bool            // VMs that gave no answer; those that stand in for them are asked
	keepers map[string]string          // by service: name of the keeper in the latest log line
	number  uint64                     // of the latest request
}

// slotWaiter is a request that waits for a slot.
type slotWaiter struct {
	granted chan slotAnswer // receives the leaf
	until   time.Time       // when nobody waits any more
}

// useSlots makes this VM ask keepers of slots, and be one.
func (e *Engine) useSlots() *slotKeeping {
	k := &slotKeeping{
		e: e, books: make(map[string]*slotbook.Book), waiting: make(map[slotbook.ID]slotWaiter),
		silent: make(map[string]bool), keepers: make(map[string]string),
		number: uint64(time.Now().UnixNano()), // beyond those of an earlier run
	}
	e.slots.Store(k)
	return k
}

// keepSlots looks for keepers of slots and connects to them until ctx ends, if the settings ask for it.
func (n *Node) keepSlots(ctx context.Context) {
	if !n.settings.Slots.Keep {
		return
	}
	k := n.engine.useSlots()
	for ctx.Err() == nil {
		for _, vm := range k.refresh(time.Now()) {
			k.reach(ctx, vm)
		}
		sleep(ctx, keptInterval)
	}
}

// reach opens a connection to a keeper if there is none, and probes one that gave no answer.
func (k *slotKeeping) reach(ctx context.Context, vm scatter.VM) {
	client := k.e.currentPeerClient()
	dialCtx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()
	_, err := client.connect(dialCtx, vm)
	k.mu.Lock()
	silent := k.silent[vm.Name]
	k.mu.Unlock()
	if err == nil && silent {
		askCtx, cancel := context.WithTimeout(ctx, minAskTime)
		defer cancel()
		err = client.reserveSlot(askCtx, vm, &slotCall{}, &slotAnswer{})
	}
	if err != nil {
		k.e.log.Debug("a keeper of slots does not answer", "vm", vm.Name, "error", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.silent, vm.Name)
}

// refresh finds the services whose slots are kept, and returns the other VMs to reach: those that keep
// them, and those that gave no answer. It logs each change of a keeper, and forgets what is not needed
// any more.
func (k *slotKeeping) refresh(now time.Time) []scatter.VM {
	m := k.e.inForce.Get()
	if m == nil {
		return nil
	}
	keepers := make(map[string][]scatter.VM)
	k.e.mu.Lock()
	for _, name := range singleServices(m) {
		if len(keepers) < maxKeptServices && k.e.table.SlotsShared(name) {
			keepers[name] = k.e.table.SlotKeepers(now, name)
		}
	}
	k.e.mu.Unlock()
	weights := tenantWeights(m.Tenants)

	k.mu.Lock()
	defer k.mu.Unlock()
	k.kept = make(map[string]bool)
	maps.DeleteFunc(k.waiting, func(_ slotbook.ID, w slotWaiter) bool { return now.After(w.until) })
	maps.DeleteFunc(k.books, func(name string, _ *slotbook.Book) bool { return keepers[name] == nil })
	maps.DeleteFunc(k.keepers, func(name, _ string) bool { return keepers[name] == nil })
	others := make(map[string]scatter.VM)
	silent := k.silent
	k.silent = make(map[string]bool)
	for _, vms := range keepers {
		for _, vm := range vms {
			if silent[vm.Name] {
				k.silent[vm.Name], others[vm.Name] = true, vm
			}
		}
	}
	for name, vms := range keepers {
		k.kept[name] = true
		vm, ok := k.firstAnswering(vms)
		if ok && vm.Name != k.e.self.Name {
			others[vm.Name] = vm
		}
		if vm.Name != k.keepers[name] {
			k.e.log.Info("keeper of slots changed", "service", name, "vm", vm.Name, "former", k.keepers[name])
			k.keepers[name] = vm.Name
		}
		if b := k.books[name]; b != nil {
			b.SetWeights(weights)
		}
	}
	return slices.Collect(maps.Values(others))
}

// singleServices returns the names of the services that requests to one service use, in order.
func singleServices(m *routing.Manifest) []string {
	names := make(map[string]bool)
	for _, route := range m.Routes {
		if !route.Gathered() {
			for _, name := range route.Services() {
				names[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// firstAnswering returns the first of the VMs that has not left a request without an answer. k.mu must
// be held.
func (k *slotKeeping) firstAnswering(vms []scatter.VM) (vm scatter.VM, ok bool) {
	i := slices.IndexFunc(vms, func(vm scatter.VM) bool { return !k.silent[vm.Name] })
	if i < 0 {
		return scatter.VM{}, false
	}
	return vms[i], true
}

// slotGrant is the answer of a keeper to one request. A nil *slotGrant is no answer.
type slotGrant struct {
	keeping    *slotKeeping
	client     peerClient
	keeper     scatter.VM
	service    string
	number     uint64
	ranked     bool           // requests are refused by rank and tenant
	leaf       scatter.LeafID // the leaf that was named; zero for none
	retryAfter time.Duration  // if the service is full: when there is a slot
	maxWait    time.Duration  // longest wait for a slot after which the request is still worth starting
	abandoned  bool           // the caller has disconnected meanwhile
}

// reserve asks the keeper of slots for the leaf of a request. It returns nil if there is no keeper or
// it does not answer in time, so that this VM chooses by itself. It asks one VM only.
func (k *slotKeeping) reserve(ctx context.Context, now time.Time, spec scatter.Spec) *slotGrant {
	if k == nil || spec.Gathered {
		return nil
	}
	g := &slotGrant{keeping: k, service: spec.Services[0]}
	k.mu.Lock()
	kept := k.kept[g.service]
	k.number++
	g.number = k.number
	k.mu.Unlock()
	if !kept {
		return nil
	}
	k.e.mu.Lock()
	keepers := k.e.table.SlotKeepers(now, g.service)
	req, worthwhile := k.e.table.SlotRequest(now, spec)
	g.client = k.e.peerClient
	k.e.mu.Unlock()
	if !worthwhile {
		return nil
	}
	k.mu.Lock()
	keeper, ok := k.firstAnswering(keepers)
	k.mu.Unlock()
	if !ok {
		k.count("no_keeper")
		return nil
	}
	g.keeper, g.ranked, g.maxWait = keeper, req.Ranked, req.MaxWait
	req.ID = slotbook.ID{VM: k.e.self.Name, Number: g.number}
	req.Draw = fairshare.Draw(spec.RequestID, now)
	limit := max(time.Duration(askTimeShare*float64(spec.LatencyObjective)), minAskTime)
	ans, err := g.ask(ctx, now, req, limit)
	if err == nil && ans.Wait {
		if ans, err = g.await(ctx, req.ID, req.MaxWait+limit); err != nil || ans == (slotAnswer{}) {
			k.count("waited_in_vain")
			g.end(slotEnd{Unused: true})
			return g.unlessAbandoned(ctx)
		}
	}
	if err != nil {
		g.failed(ctx, err)
		return g.unlessAbandoned(ctx)
	}
	g.leaf = scatter.LeafID{ID: ans.Leaf, Born: ans.Born}
	g.retryAfter = time.Duration(ans.RetryAfterUS) * time.Microsecond
	switch {
	case ans.Leaf != "":
		k.count("named")
	case ans.RetryAfterUS > 0:
		k.count("full")
	default:
		k.count("no_advice")
	}
	return g
}

// ask asks the keeper, which may be this VM itself. It waits no longer than limit, and no longer than
// this VM serves.
func (g *slotGrant) ask(ctx context.Context, now time.Time, req slotbook.Request, limit time.Duration) (slotAnswer, error) {
	if g.keeper.Name == g.keeping.e.self.Name {
		return g.keeping.name(now, g.service, req), nil
	}
	ctx, cancel := g.keeping.e.stopping.bound(ctx, now.Add(limit))
	defer cancel()
	var ans slotAnswer
	err := g.client.reserveSlot(ctx, g.keeper, newSlotCall(g.service, req), &ans)
	return ans, err
}

// await waits until the keeper names a leaf. It waits no longer than limit, and no longer than this VM
// serves.
func (g *slotGrant) await(ctx context.Context, id slotbook.ID, limit time.Duration) (ans slotAnswer, err error) {
	ctx, cancel := g.keeping.e.stopping.bound(ctx, time.Now().Add(limit))
	defer cancel()
	if g.keeper.Name == g.keeping.e.self.Name {
		return g.keeping.awaitGrant(ctx, id)
	}
	err = g.client.awaitSlot(ctx, g.keeper, &slotWait{Number: g.number}, &ans)
	return ans, err
}

// failed records that the keeper gave no answer in time. It may have named a leaf, which is not used.
func (g *slotGrant) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		g.end(slotEnd{Unused: true}) // the caller has disconnected
		return
	}
	g.keeping.count("no_answer")
	if !errors.Is(err, errNotConnected) {
		g.end(slotEnd{Unused: true})
	}
	g.keeping.mu.Lock()
	defer g.keeping.mu.Unlock()
	g.keeping.silent[g.keeper.Name] = g.keeper.Name != g.keeping.e.self.Name
}

// count counts a request for which a keeper was asked. end says what it answered.
func (k *slotKeeping) count(end string) {
	k.e.stats.count(`bramley_edge_slot_requests_total{end=%q}`, end)
}

// unlessAbandoned returns nil, no answer, unless the caller has disconnected.
func (g *slotGrant) unlessAbandoned(ctx context.Context) *slotGrant {
	if ctx.Err() == nil {
		return nil
	}
	g.abandoned = true
	return g
}

// refusal returns the result of a request that the keeper refused since the service is full, or whose
// caller has disconnected; nil if it goes on. Nothing was sent for it.
func (g *slotGrant) refusal(spec scatter.Spec) *Result {
	if g != nil && g.abandoned {
		return &Result{Outcome: scatter.Outcome{Verdict: scatter.Abandoned}}
	}
	if g == nil || g.leaf.ID != "" || g.retryAfter <= 0 {
		return nil
	}
	out := scatter.Outcome{
		Verdict: scatter.NotRun, RetryAfter: g.retryAfter, Refusal: &scatter.Refusal{Wait: g.retryAfter, Limit: g.maxWait},
	}
	g.keeping.e.stats.ranked(spec, out, scatter.Yields{Ranked: g.ranked})
	header := http.Header{"Retry-After": {formatSeconds(g.retryAfter)}}
	return &Result{Status: http.StatusServiceUnavailable, Header: header, Outcome: out}
}

// advised returns the leaf that the keeper has named; zero for none.
func (g *slotGrant) advised() scatter.LeafID {
	if g == nil {
		return scatter.LeafID{}
	}
	return g.leaf
}

// queryEnded tells the keeper that the leaf that it named was not used, if so.
func (g *slotGrant) queryEnded(query *scatter.Query) {
	if g == nil || g.leaf.ID == "" || query.SentAsAdvised() {
		return
	}
	g.keeping.e.stats.count(`bramley_edge_slot_advice_ignored_total`)
	g.end(slotEnd{Unused: true})
}

// attemptEnded tells the keeper how an attempt ended, if it was sent to the leaf that it named.
func (g *slotGrant) attemptEnded(leaf scatter.LeafID, end scatter.End, metadata LeafMetadata) {
	if g == nil || g.leaf != leaf {
		return
	}
	msg := slotEnd{Full: end == scatter.EndRefused, Stated: metadata.HasLoad, Running: metadata.Load.Running, Waiting: metadata.Load.Waiting}
	msg.Unused = end == scatter.EndUnreachable || end == scatter.EndMoved
	g.end(msg)
}

// end tells the keeper that the request has ended. Nobody waits for it.
func (g *slotGrant) end(msg slotEnd) {
	msg.Service, msg.Number = g.service, g.number
	if g.keeper.Name == g.keeping.e.self.Name {
		g.keeping.recordEnd(time.Now(), g.keeper.Name, &msg)
		return
	}
	g.client.endSlot(g.keeper, &msg)
}

// name names a leaf for a request, as the keeper of a service. It gives no advice on a service whose
// slots are not kept as far as this VM knows.
func (k *slotKeeping) name(now time.Time, service string, req slotbook.Request) slotAnswer {
	k.e.mu.Lock()
	leafs := k.e.table.SlotLeafs(now, service)
	k.e.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.kept[service] {
		return slotAnswer{}
	}
	b := k.books[service]
	if b == nil {
		b = slotbook.New()
		if m := k.e.inForce.Get(); m != nil {
			b.SetWeights(tenantWeights(m.Tenants))
		}
		k.books[service] = b
	}
	b.SetLeafs(leafs)
	grant := b.Reserve(now, req)
	k.e.stats.count(`bramley_edge_slots_kept_total{end=%q}`, endOfGrant(grant))
	if grant.Wait {
		k.waiting[req.ID] = slotWaiter{granted: make(chan slotAnswer, 1), until: now.Add(req.MaxWait)}
	}
	k.deliver(b.Tick(now))
	return answerOf(grant)
}

// endOfGrant returns what a grant says, for the metrics.
func endOfGrant(grant slotbook.Grant) string {
	switch {
	case grant.Wait:
		return "waits"
	case grant.RetryAfter > 0:
		return "full"
	case grant.Leaf.ID == "":
		return "no_leaf"
	}
	return "named"
}

// answerOf returns the message that states a grant.
func answerOf(grant slotbook.Grant) slotAnswer {
	return slotAnswer{Leaf: grant.Leaf.ID, Born: grant.Leaf.Born, Wait: grant.Wait, RetryAfterUS: grant.RetryAfter.Microseconds()}
}

// deliver passes grants to the requests that wait for them. k.mu must be held.
func (k *slotKeeping) deliver(grants []slotbook.Grant) {
	for _, grant := range grants {
		if w, ok := k.waiting[grant.ID]; ok {
			select {
			case w.granted <- answerOf(grant):
			default: // it was granted before
			}
		}
	}
}

// awaitGrant waits until a request is granted that this VM lets wait as a keeper.
func (k *slotKeeping) awaitGrant(ctx context.Context, id slotbook.ID) (slotAnswer, error) {
	k.mu.Lock()
	w, ok := k.waiting[id]
	k.mu.Unlock()
	if !ok {
		return slotAnswer{}, nil
	}
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.waiting, id)
	}()
	timer := time.NewTimer(time.Until(w.until))
	defer timer.Stop()
	select {
	case ans := <-w.granted:
		return ans, nil
	case <-timer.C:
		return slotAnswer{}, nil
	case <-ctx.Done():
		return slotAnswer{}, ctx.Err()
	}
}

// recordEnd records that a request of the named VM has ended, as the keeper of its service.
func (k *slotKeeping) recordEnd(now time.Time, vm string, msg *slotEnd) {
	k.e.mu.Lock()
	leafs := k.e.table.SlotLeafs(now, msg.Service)
	k.e.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if b := k.books[msg.Service]; b != nil {
		b.SetLeafs(leafs)
		k.deliver(b.End(now, slotbook.End{
			ID: slotbook.ID{VM: vm, Number: msg.Number}, Unused: msg.Unused, Full: msg.Full,
			Stated: msg.Stated, Running: msg.Running, Waiting: msg.Waiting,
		}))
	}
}
