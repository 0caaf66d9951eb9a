package edge

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/bramleybarrow/bramleybarrow/leafhttp"
	"github.com/bramleybarrow/bramleybarrow/scatter"
)

// checkWait is how long an attempt that is not gathered waits for the check of its leaf. The query may
// then end, and other VMs have to know of the leaf by then. A gathered request has other shards to wait
// for.
const checkWait = 20 * time.Millisecond

// awaitCheck starts a check of the leaf of an attempt whose connection was lost, and waits for it if the
// request is not gathered.
func (r *runner) awaitCheck(s scatter.Send, endpoint leafhttp.Endpoint) {
	checked := make(chan struct{})
	go func() {
		r.checkLeaf(s, endpoint)
		close(checked)
	}()
	if r.spec.Gathered {
		return
	}
	select {
	case <-checked:
	case <-time.After(checkWait):
	}
}

// recheckPause is the time after which a leaf that was alive after a lost connection is checked again. A
// process that ends slowly may take connections until then.
const recheckPause = 50 * time.Millisecond

// checkLeaf finds out whether a leaf has ended while it ran an attempt, whose connection was lost. If it
// is alive, checkLeaf returns, and the leaf is checked again later.
func (r *runner) checkLeaf(s scatter.Send, endpoint leafhttp.Endpoint) {
	found := r.e.pool.Check(context.Background(), endpoint)
	r.recordCheck(s, found)
	if found != leafhttp.Alive {
		return
	}
	time.AfterFunc(recheckPause, func() {
		if r.e.pool.Recheck(context.Background(), endpoint) == leafhttp.Ended {
			r.recordCheck(s, leafhttp.Ended)
		}
	})
}

// recordCheck records and logs what a check of a leaf has found.
func (r *runner) recordCheck(s scatter.Send, found leafhttp.Liveness) {
	r.e.mu.Lock()
	now := time.Now()
	r.e.table.RecordChecked(now, r.spec.Content, s.Leaf, found == leafhttp.Ended)
	if found == leafhttp.Alive {
		r.e.table.RecordAlive(now, r.spec.Content, s.Leaf)
	}
	if found == leafhttp.Ended && (!r.spec.Gathered || r.query.Unproven()) {
		// The client's next attempt, or a copy, comes through another VM, before this one can have
		// quarantined the content.
		r.e.table.Guard().Tell(now, r.spec.Content)
	}
	r.e.quarantineNews.notifyIf(r.e.table.Guard().HasNews())
	r.e.mu.Unlock()
	r.e.stats.count(`bramley_edge_leaf_checks_total{result=%q}`, found)
	r.e.log.Info("leaf checked after a lost connection",
		"request", r.req.ID,
		"content", r.spec.Content.String(),
		"service", r.spec.Services[s.Shard],
		"leaf", s.Leaf.ID,
		"result", found.String(),
	)
}

// leafSentSurplus records that the leaf with that poolKey has sent bytes that no request waits for.
func (e *Engine) leafSentSurplus(key string) {
	e.stats.set.GetOrCreateCounter(`bramley_edge_leaf_surplus_total`).Inc()
	slash := strings.LastIndexByte(key, '/')
	born, err := strconv.ParseInt(key[slash+1:], 10, 64)
	if err != nil {
		return // not a key of poolKey
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.RecordSurplus(time.Now(), scatter.LeafID{ID: key[:slash], Born: born})
}
