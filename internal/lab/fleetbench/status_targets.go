package fleetbench

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/labhttp"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// The sizes of the status targets. A status target is a target that runs in this process
// and serves its status and nothing else.
const (
	statusTargetLeaves      = 2      // leaves of each status target
	statusTargetConnections = 25     // limit of connections to each status target
	statusTargetShards      = 320    // shards of the index that the status targets serve; each leaf holds one of them
	statusTargetRecords     = 50_000 // lower bound of the records in each shard of the status targets' index
)

// statusTargets is a set of status targets: targets that run in this process and serve
// their status and nothing else. They are used to measure the cost of health checks.
type statusTargets struct {
	servers     []*http.Server // by target
	addresses   []string       // IP and port, by target
	statusReads atomic.Int64   // reads of a status so far, added up over all targets and daemons

	mu        sync.RWMutex // guards snapshots
	snapshots []string     // names of the snapshots of which every leaf holds a shard, newest last
}

// startStatusTargets starts n status targets (targets that serve only their status) on
// free loopback ports. They serve until close.
func startStatusTargets(n int) (*statusTargets, error) {
	t := &statusTargets{snapshots: []string{"index-1"}}
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.close()
			return nil, errors.Trace(err)
		}
		server := &http.Server{Handler: t.handler(i), Protocols: new(http.Protocols)}
		server.Protocols.SetHTTP1(true)
		server.Protocols.SetUnencryptedHTTP2(true)
		t.servers = append(t.servers, server)
		t.addresses = append(t.addresses, listener.Addr().String())
		go server.Serve(listener)
	}
	return t, nil
}

// close stops all targets.
func (t *statusTargets) close() {
	for _, s := range t.servers {
		s.Close()
	}
}

// statusTargetName returns the name of status target i, counted from 0. It is also the
// target's incarnation.
func statusTargetName(i int) string { return fmt.Sprint("answering-", i) }

// handler returns the HTTP handler of target i. It serves the target's status and counts
// the reads in statusReads.
func (t *statusTargets) handler(i int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+target.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		t.statusReads.Add(1)
		w.Header().Set(target.HeaderIncarnation, statusTargetName(i))
		w.Header().Set(target.HeaderState, string(target.StateServing))
		labhttp.WriteJSON(w, http.StatusOK, t.status(i))
	})
	return mux
}

// status returns the status of target i. Each of its leaves holds one shard of every
// snapshot.
func (t *statusTargets) status(i int) target.Status {
	t.mu.RLock()
	defer t.mu.RUnlock()
	st := target.Status{Target: statusTargetName(i), Incarnation: statusTargetName(i), State: target.StateServing}
	for leaf := range statusTargetLeaves {
		l := target.LeafStatus{Leaf: leaf}
		for seq, snapshot := range t.snapshots {
			shard := (statusTargetLeaves*i + leaf) % statusTargetShards
			l.Holdings = append(l.Holdings, target.Holding{
				Snapshot: snapshot, Seq: int64(seq + 1), Shards: statusTargetShards, Shard: shard,
				Records: int64(statusTargetRecords + shard*(seq+1)),
			})
		}
		st.Leaves = append(st.Leaves, l)
	}
	return st
}

// setSnapshots replaces the snapshots of which every leaf of every target holds a shard.
// The newest snapshot comes last.
func (t *statusTargets) setSnapshots(snapshots ...string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshots = snapshots
}

// service returns the bundle's service whose targets are the status targets.
func (t *statusTargets) service(drain bundle.Drain) bundle.Service {
	svc := bundle.Service{Name: "answering", Shards: statusTargetShards, Drain: drain}
	for i, address := range t.addresses {
		svc.Targets = append(svc.Targets, bundle.Target{
			Name: statusTargetName(i), Zone: zoneName(i % zones), Address: address,
			Leaves: statusTargetLeaves, Slots: 2, Connections: statusTargetConnections, ConnectCostMS: 6,
		})
	}
	return svc
}
