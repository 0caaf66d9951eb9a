package targetsim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/target"
)

// timeout bounds the wait for a condition that a test expects.
const timeout = 20 * time.Second

// testIndex is the index whose shards the targets of the tests hold.
var testIndex = Index{Service: "desk", Snapshot: "s1", Seq: 1, Shards: 3, Records: 100}

// startTarget starts a target until the end of the test. Its leaf 0 holds the shards 0 and 1 of
// testIndex, its leaf 1 holds shard 2. configure, if not nil, changes the options before the start.
func startTarget(t *testing.T, configure func(*Options)) *Target {
	opts := Options{
		Name: "t1", Service: "desk", Leaves: 2, Slots: 1, MaxQueued: 1, MaxConnections: 4,
		Timing:    Timing{BaseMS: 1},
		Snapshots: []SnapshotPlacement{{Index: testIndex, LeafShards: [][]int{{0, 1}, {2}}}},
	}
	if configure != nil {
		configure(&opts)
	}
	tg, err := Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { tg.Close() })
	return tg
}

// reply is a target's response to a request.
type reply struct {
	status       int
	header       http.Header
	ans          target.LeafAnswer // of a search, if status is 200
	refusal      target.Refusal    // if status is not 200
	trailingData bool              // there is data after the first JSON value of the body
}

// searchRequest returns a search of that shard of testIndex.
func searchRequest(shard int) target.LeafRequest {
	return target.LeafRequest{
		Echo: target.Echo{Request: fmt.Sprintf("q%d", shard), Attempt: 1, Shard: shard, Snapshot: "s1"},
		Kind: target.KindSearch, Query: "well", DeadlineMS: 20000,
	}
}

// post sends req to a leaf of the target and returns the decoded response. The operation is "search"
// or "submit".
func post(ctx context.Context, client *http.Client, tg *Target, leaf int, req any, operation string) (reply, error) {
	body, _ := json.Marshal(req)
	url := fmt.Sprintf("http://%s/leaves/%d/%s", tg.Address(), leaf, operation)
	hreq, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	resp, err := client.Do(hreq)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	out := reply{status: resp.StatusCode, header: resp.Header}
	dec := json.NewDecoder(resp.Body)
	if resp.StatusCode == http.StatusOK {
		err = dec.Decode(&out.ans)
	} else {
		err = dec.Decode(&out.refusal)
	}
	out.trailingData = dec.More()
	return out, err
}

// newClient returns a client that uses HTTP/2 without TLS, or HTTP/1.1 if http2 is false.
func newClient(t *testing.T, http2 bool) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	tr := &http.Transport{Protocols: protocols}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

// Tests compare the daemons' answers with Index.ExpectedAnswer. If the answers of the leaves did not
// add up to it, such tests would report faults that the daemons don't have.
func TestShardAnswersAddUpToExpectedAnswer(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		g := gomega.NewWithT(t)
		tg := startTarget(t, nil)
		client := newClient(t, http2)
		var items []target.Item
		var records int64
		for shard, leaf := range []int{0, 0, 1} {
			r, err := post(t.Context(), client, tg, leaf, searchRequest(shard), "search")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(r.ans.Echo).To(gomega.Equal(searchRequest(shard).Echo))
			g.Expect(r.header.Get(target.HeaderIncarnation)).To(gomega.Equal(tg.Incarnation()))
			items = append(items, r.ans.Items...)
			records += r.ans.Records
		}
		sortItems(target.KindSearch, items)
		want, _, total := testIndex.ExpectedAnswer(target.KindSearch, "well", "", 0)
		g.Expect(items).To(gomega.Equal(want))
		g.Expect(records).To(gomega.Equal(total))
		g.Expect(total).To(gomega.Equal(int64(testIndex.Records)))
		g.Expect(tg.Ran().Searches).To(gomega.HaveLen(3))
	}
}

// A refusal with NotStarted allows the caller to run the request on another replica, so a request
// that gets one must not have been started.
func TestRefusalsStateReasonAndStartNothing(t *testing.T) {
	tests := []struct {
		name          string
		configure     func(*Options)
		changeTarget  func(*Target)
		changeRequest func(*target.LeafRequest)
		want          target.Reason
	}{
		{"draining", nil, func(tg *Target) { tg.SetDraining(true) }, nil, target.ReasonDraining},
		{"cold", func(o *Options) { o.ColdMS = 60000 }, nil, nil, target.ReasonCold},
		{"shed", nil, func(tg *Target) { tg.SetFaults(Faults{ShedShare: 1}) }, nil, target.ReasonShed},
		{"other snapshot", nil, nil, func(r *target.LeafRequest) { r.Snapshot = "s0" }, target.ReasonNoSnapshot},
		{"lost shard", nil, func(tg *Target) { tg.SetSnapshots(nil) }, nil, target.ReasonNoSnapshot},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			tg := startTarget(t, tt.configure)
			if tt.changeTarget != nil {
				tt.changeTarget(tg)
			}
			req := searchRequest(0)
			if tt.changeRequest != nil {
				tt.changeRequest(&req)
			}
			r, err := post(t.Context(), newClient(t, false), tg, 0, req, "search")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(r.status).To(gomega.Equal(http.StatusServiceUnavailable))
			g.Expect(r.refusal.Reason).To(gomega.Equal(tt.want))
			g.Expect(r.refusal.NotStarted).To(gomega.BeTrue())
			g.Expect(tg.Ran().Searches).To(gomega.BeEmpty())
		})
	}
}

// A leaf must refuse requests beyond its slots and queue, and free the slot and the place in the
// queue when a caller disconnects. Otherwise it would stay full after its callers have given up.
func TestFullQueueShedsAndCancelFreesSlots(t *testing.T) {
	g := gomega.NewWithT(t)
	tg := startTarget(t, func(o *Options) { o.Timing.BaseMS = 60000 })
	client := newClient(t, true)
	ctx, cancel := context.WithCancel(t.Context())
	for range 2 { // one gets the slot, the other waits in the queue
		go post(ctx, client, tg, 0, searchRequest(0), "search")
	}
	g.Eventually(tg.leaves[0].load, timeout).Should(gomega.Equal(2))
	r, err := post(t.Context(), client, tg, 0, searchRequest(0), "search")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.refusal.Reason).To(gomega.Equal(target.ReasonShed))
	cancel()
	g.Eventually(tg.leaves[0].load, timeout).Should(gomega.BeZero())
	g.Expect(tg.Counters().PeakRunning).To(gomega.Equal(1))
}

// If a target accepted any number of connections, tests could not detect that a daemon opens too
// many.
func TestConnectionsAboveLimitAreClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	tg := startTarget(t, func(o *Options) { o.MaxConnections = 1 })
	_, err := post(t.Context(), newClient(t, false), tg, 0, searchRequest(0), "search")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = post(t.Context(), newClient(t, false), tg, 0, searchRequest(0), "search")
	g.Expect(err).To(gomega.HaveOccurred())
	c := tg.Counters().Connections
	g.Expect(c.Peak).To(gomega.Equal(1))
	g.Expect(c.Refused).To(gomega.BeNumerically(">=", 1))
}

// If a fault that is set did not change the answer, tests of how the daemons handle the fault would
// pass without testing it.
func TestFaultsChangeSearchAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	tg := startTarget(t, nil)
	client := newClient(t, false)
	tg.SetFaults(Faults{MismatchedAnswers: 1, DuplicateAnswers: 1, MissingRecords: 5})
	r, err := post(t.Context(), client, tg, 0, searchRequest(0), "search")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.ans.Echo).NotTo(gomega.Equal(searchRequest(0).Echo))
	g.Expect(r.trailingData).To(gomega.BeTrue())
	g.Expect(r.ans.Complete).To(gomega.BeFalse())
	g.Expect(r.ans.Missing).To(gomega.Equal(int64(5)))
}

// CutSubmits simulates an answer that is lost after the submit took effect, so the submit must run.
func TestSubmitRunsDespiteCutConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	tg := startTarget(t, nil)
	tg.SetFaults(Faults{CutSubmits: 1})
	req := target.SubmitRequest{Key: "k1", Payload: json.RawMessage(`{}`), DeadlineMS: 20000}
	_, err := post(t.Context(), newClient(t, false), tg, 0, req, "submit")
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(tg.Ran().Submits).To(gomega.HaveLen(1))
}
