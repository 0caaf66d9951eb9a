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

// The shape of each answering target.
const (
	statusTargetLeaves      = 2
	statusTargetConnections = 25
	statusTargetShards      = 320
	statusTargetRecords     = 50_000
)

// statusTargets is a set of targets that answer reads of their status and nothing
// else, all in this process. They show what the health of targets costs.
type statusTargets struct {
	servers     []*http.Server
	addresses   []string
	statusReads atomic.Int64

	mu        sync.RWMutex // guards what follows
	snapshots []string     // held by every leaf, the newest last
}

func startStatusTargets(n int) (*statusTargets, error) {
	a := &statusTargets{snapshots: []string{"index-1"}}
	for i := range n {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			a.close()
			return nil, errors.Trace(err)
		}
		server := &http.Server{Handler: a.handler(i), Protocols: new(http.Protocols)}
		server.Protocols.SetHTTP1(true)
		server.Protocols.SetUnencryptedHTTP2(true)
		a.servers = append(a.servers, server)
		a.addresses = append(a.addresses, socket.Addr().String())
		go server.Serve(socket)
	}
	return a, nil
}

func (a *statusTargets) close() {
	for _, s := range a.servers {
		s.Close()
	}
}

func statusTargetName(i int) string { return fmt.Sprint("answering-", i) }

func (a *statusTargets) handler(i int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+target.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		a.statusReads.Add(1)
		w.Header().Set(target.HeaderIncarnation, statusTargetName(i))
		w.Header().Set(target.HeaderState, string(target.StateServing))
		labhttp.WriteJSON(w, http.StatusOK, a.status(i))
	})
	return mux
}

func (a *statusTargets) status(i int) target.Status {
	a.mu.RLock()
	defer a.mu.RUnlock()
	st := target.Status{Target: statusTargetName(i), Incarnation: statusTargetName(i), State: target.StateServing}
	for leaf := range statusTargetLeaves {
		l := target.LeafStatus{Leaf: leaf}
		for seq, snapshot := range a.snapshots {
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

// setSnapshots makes every leaf of every target setSnapshots the snapshots.
func (a *statusTargets) setSnapshots(snapshots ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.snapshots = snapshots
}

// service describes the targets for the bundle.
func (a *statusTargets) service(drain bundle.Drain) bundle.Service {
	svc := bundle.Service{Name: "answering", Shards: statusTargetShards, Drain: drain}
	for i, address := range a.addresses {
		svc.Targets = append(svc.Targets, bundle.Target{
			Name: statusTargetName(i), Zone: zoneName(i % zones), Address: address,
			Leaves: statusTargetLeaves, Slots: 2, Connections: statusTargetConnections, ConnectCostMS: 6,
		})
	}
	return svc
}
