package hop

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bramleybarrow/bramleybarrow/target"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// answerSearch is the handler of a target that answers each search immediately, and also
// serves its status.
func answerSearch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == target.PathStatus {
		_ = json.NewEncoder(w).Encode(target.Status{Target: "owned", Incarnation: "1", State: target.StateServing})
		return
	}
	var req target.LeafRequest
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(sampleAnswer(req))
}

// sampleAnswer returns an answer with 5 items, about 600 bytes in JSON.
func sampleAnswer(req target.LeafRequest) target.LeafAnswer {
	answer := target.LeafAnswer{Echo: req.Echo, Complete: true, Records: 1000}
	for i := range 5 {
		answer.Items = append(answer.Items, target.Item{
			Key: fmt.Sprintf("permit-%05d", i), Score: float64(i) / 7,
			Fields: json.RawMessage(`{"holder":"Somebody ehf.","place":"selfoss","state":"valid"}`),
		})
	}
	return answer
}

// sampleLeaves answers searches in the owner's process, without a target.
type sampleLeaves struct{ fakeLeaves }

// Search returns sampleAnswer at once.
func (*sampleLeaves) Search(_ context.Context, _ string, _ int, req target.LeafRequest) (target.LeafAnswer, error) {
	return sampleAnswer(req), nil
}

// startTarget starts a target and returns a client with 4 connections to it.
func startTarget(b *testing.B) *target.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: http.HandlerFunc(answerSearch), Protocols: protocols}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }()
	b.Cleanup(func() { server.Close() })
	const connections = 4
	client := target.NewClient(target.Options{MaxWaiters: 4096, MaxWait: testLimit})
	b.Cleanup(client.Close)
	client.Apply([]target.Endpoint{{Name: "owned", Address: ln.Addr().String(), Connections: connections}})
	time.Sleep(500 * time.Millisecond) // the client opens its connections one by one, before any call
	return client
}

// startOwner starts an owner of the given leaves and returns a caller connected to it.
func startOwner(b *testing.B, leaves Leaves) *Caller {
	owner := NewOwner(OwnerOptions{Leaves: leaves, Slots: func(string, int) (int, bool) { return 1000, true }})
	o := wire.Options{
		Self: wire.Identity{Deployment: "d", VM: "owner", Incarnation: "1"},
		Keys: [][]byte{bytes.Repeat([]byte("k"), wire.MinKeyBytes)}, Handler: owner.Handle, MaxCalls: 1000,
	}
	server, err := wire.Listen("127.0.0.1:0", o, &wire.Counters{}, func(c *wire.Conn) { c.Serve() })
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Stop)
	caller, err := Dial(context.Background(), server.Addr().String(), o, &wire.Counters{})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(caller.Close)
	return caller
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// fanOut runs queries of the given number of leaf calls each, 4 queries at a time.
// It reports the CPU time per leaf call, the sum of caller, owner and target.
func fanOut(b *testing.B, leaves Leaves, calls int) {
	const queries = 4
	var wg sync.WaitGroup
	work := make(chan struct{})
	for range queries {
		wg.Go(func() {
			for range work {
				runQuery(b, leaves, calls)
			}
		})
	}
	before := cpuTime()
	for b.Loop() {
		work <- struct{}{}
	}
	close(work)
	wg.Wait()
	b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(b.N)/float64(calls)/1000, "cpu-µs/call")
}

// runQuery makes the given number of leaf calls at the same time and waits for all of them.
func runQuery(b *testing.B, leaves Leaves, calls int) {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			req := request(i)
			req.Kind, req.Query, req.Limit = target.KindSearch, "well selfoss", 10
			if _, err := leaves.Search(ctx, "owned", i, req); err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
}

// BenchmarkLeafCall compares direct calls to a target, calls through an owner, and
// calls to an owner that answers without a target. Caller, owner and target run in
// this process.
func BenchmarkLeafCall(b *testing.B) {
	for _, calls := range []int{1, 8, 40, 320} {
		b.Run(fmt.Sprintf("direct/calls=%d", calls), func(b *testing.B) { fanOut(b, startTarget(b), calls) })
		b.Run(fmt.Sprintf("owner/calls=%d", calls), func(b *testing.B) { fanOut(b, startOwner(b, startTarget(b)), calls) })
		b.Run(fmt.Sprintf("hop-alone/calls=%d", calls), func(b *testing.B) { fanOut(b, startOwner(b, &sampleLeaves{}), calls) })
	}
}
