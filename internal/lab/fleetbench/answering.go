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
	answeringLeaves      = 2
	answeringConnections = 25
	answeringShards      = 320
	answeringRecords     = 50_000
)

// answering is a set of targets that answer reads of their status and nothing
// else, all in this process. They show what the health of targets costs.
type answering struct {
	servers   []*http.Server
	addresses []string
	reads     atomic.Int64

	mu        sync.RWMutex // guards what follows
	snapshots []string     // held by every leaf, the newest last
}

func startAnswering(n int) (*answering, error) {
	a := &answering{snapshots: []string{"index-1"}}
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

func (a *answering) close() {
	for _, s := range a.servers {
		s.Close()
	}
}

func answeringName(i int) string { return fmt.Sprint("answering-", i) }

func (a *answering) handler(i int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+target.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		a.reads.Add(1)
		w.Header().Set(target.HeaderIncarnation, answeringName(i))
		w.Header().Set(target.HeaderState, string(target.StateServing))
		labhttp.Write(w, http.StatusOK, a.status(i))
	})
	return mux
}

func (a *answering) status(i int) target.Status {
	a.mu.RLock()
	defer a.mu.RUnlock()
	st := target.Status{Target: answeringName(i), Incarnation: answeringName(i), State: target.StateServing}
	for leaf := range answeringLeaves {
		l := target.LeafStatus{Leaf: leaf}
		for seq, snapshot := range a.snapshots {
			shard := (answeringLeaves*i + leaf) % answeringShards
			l.Holdings = append(l.Holdings, target.Holding{
				Snapshot: snapshot, Seq: int64(seq + 1), Shards: answeringShards, Shard: shard,
				Records: int64(answeringRecords + shard*(seq+1)),
			})
		}
		st.Leaves = append(st.Leaves, l)
	}
	return st
}

// hold makes every leaf of every target hold the snapshots.
func (a *answering) hold(snapshots ...string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.snapshots = snapshots
}

// service describes the targets for the bundle.
func (a *answering) service(drain bundle.Drain) bundle.Service {
	svc := bundle.Service{Name: "answering", Shards: answeringShards, Drain: drain}
	for i, address := range a.addresses {
		svc.Targets = append(svc.Targets, bundle.Target{
			Name: answeringName(i), Zone: zoneName(i % zones), Address: address,
			Leaves: answeringLeaves, Slots: 2, Connections: answeringConnections, ConnectCostMS: 6,
		})
	}
	return svc
}
