package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// Bounds of the load.
const (
	maxInFlight     = 6000 // requests that wait for an answer; beyond, one is dropped and counted
	distinctQueries = 40   // different query texts
	itemLimit       = 10   // items asked for
	callTimeout     = 20 * time.Second
)

// Sample is what a window of load came to. Latencies count from the time at
// which each request was meant to be sent.
type Sample struct {
	Sent         int
	Dropped      int // not sent, since too many were in flight
	Refused      int // at admission, nothing handed to a target
	Complete     int
	InTime       int // whole and within the time limit, as the caller's clock says
	Wrong        int // complete by its own account, but not what the stand-ins hold
	Failed       int // no answer at all
	MinLeafCalls int // leaf calls, one for each shard of each query not refused
	Coverage     float64
	Latency      *hdrhistogram.Histogram // microseconds, of requests not refused
	Codes        map[int]int
	Seconds      float64
}

// newSample returns an empty sample.
func newSample() *Sample {
	const (
		longest = int64(60 * time.Second / time.Microsecond)
		digits  = 3
	)
	return &Sample{Latency: hdrhistogram.New(1, longest, digits), Codes: map[int]int{}}
}

func (s *Sample) add(o *Sample) {
	s.Sent += o.Sent
	s.Dropped += o.Dropped
	s.Refused += o.Refused
	s.Complete += o.Complete
	s.InTime += o.InTime
	s.Wrong += o.Wrong
	s.Failed += o.Failed
	s.MinLeafCalls += o.MinLeafCalls
	s.Coverage += o.Coverage
	s.Seconds += o.Seconds
	s.Latency.Merge(o.Latency)
	for code, n := range o.Codes {
		s.Codes[code] += n
	}
}

// stream is the load on one service.
type stream struct {
	service Service
	rate    float64 // queries a second
	sample  *Sample
}

// loader sends queries to the daemons.
type loader struct {
	client    *http.Client
	daemons   []string // callers' addresses
	timeLimit time.Duration
	expected  *expectedAnswers

	mu sync.Mutex // guards the samples during a window
}

func newLoader(daemons []string, timeLimit time.Duration, truths *expectedAnswers) *loader {
	dialer := &net.Dialer{Timeout: callTimeout}
	return &loader{
		client: &http.Client{
			Timeout:   callTimeout,
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxInFlight},
		},
		daemons: daemons, timeLimit: timeLimit, expected: truths,
	}
}

// run sends each stream for the time of a window at times drawn from a Poisson
// process under the seed, and waits for the answers.
func (l *loader) run(ctx context.Context, streams []stream, policy string, window time.Duration, seed uint64) {
	room := make(chan struct{}, maxInFlight)
	begin := time.Now()
	var all sync.WaitGroup
	for i, s := range streams {
		s.sample.Seconds = window.Seconds()
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		all.Go(func() { l.runStream(ctx, s, policy, begin, window, rng, room, &all) })
	}
	all.Wait()
}

func (l *loader) runStream(ctx context.Context, s stream, policy string, begin time.Time, window time.Duration,
	rng *rand.Rand, room chan struct{}, all *sync.WaitGroup) {
	at := begin
	for {
		at = at.Add(time.Duration(rng.ExpFloat64() / s.rate * float64(time.Second)))
		if at.Sub(begin) >= window || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(at))
		daemon, query := l.daemons[rng.IntN(len(l.daemons))], rng.IntN(distinctQueries)
		select {
		case room <- struct{}{}:
		default:
			l.update(s.sample, func(sample *Sample) { sample.Sent++; sample.Dropped++ })
			continue
		}
		all.Go(func() {
			defer func() { <-room }()
			l.sendQuery(ctx, s, policy, daemon, query, at)
		})
	}
}

func (l *loader) sendQuery(ctx context.Context, s stream, policy, daemon string, query int, intended time.Time) {
	svc := s.service
	text := queryText(query)
	a, err := l.post(ctx, daemon, searchName(svc.Name, policy), gateway.SearchBody{Query: text, Limit: itemLimit})
	took := time.Since(intended)
	wrong := err == nil && a.Code == int(result.Complete) && !l.expected.matches(svc.Name, text, a)
	l.update(s.sample, func(sample *Sample) {
		sample.Sent++
		sample.Codes[a.Code]++
		if err == nil && refused(a) {
			sample.Refused++
			return
		}
		sample.Latency.RecordValue(took.Microseconds())
		sample.MinLeafCalls += minLeafCalls(svc, a)
		if err != nil {
			sample.Failed++
			return
		}
		if a.Coverage != nil {
			sample.Coverage += a.Coverage.Ratio
		}
		if a.Code == int(result.Complete) {
			sample.Complete++
			if took <= l.timeLimit {
				sample.InTime++
			}
		}
		if wrong {
			sample.Wrong++
		}
	})
}

func (l *loader) update(s *Sample, f func(*Sample)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(s)
}

// refused reports whether the daemon turned the query away before any leaf.
func refused(a gateway.Answer) bool {
	return a.Code == int(result.Overloaded) || a.Code == int(result.CannotMeetLimit)
}

// minLeafCalls is how many leaf calls the query needed at least.
func minLeafCalls(svc Service, a gateway.Answer) int {
	if a.Coverage != nil {
		return a.Coverage.Shards
	}
	return svc.Shards
}

func (l *loader) post(ctx context.Context, daemon, search string, body gateway.SearchBody) (gateway.Answer, error) {
	var a gateway.Answer
	data, err := json.Marshal(body)
	if err != nil {
		return a, err
	}
	url := fmt.Sprintf("http://%s/v1/search/%s", daemon, search)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return a, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, err
	}
	return a, json.Unmarshal(raw, &a)
}

func queryText(i int) string { return fmt.Sprintf("well %d", i) }

// expectedAnswers knows what a complete answer holds.
type expectedAnswers struct {
	mu      sync.Mutex // guards both maps
	indexes map[answerKey]targetsim.Index
	items   map[answerKey][]target.Item
}

type answerKey struct{ service, snapshot, query string }

func newExpectedAnswers() *expectedAnswers {
	return &expectedAnswers{indexes: map[answerKey]targetsim.Index{}, items: map[answerKey][]target.Item{}}
}

// addIndex adds a snapshot.
func (t *expectedAnswers) addIndex(x targetsim.Index) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.indexes[answerKey{x.Service, x.Snapshot, ""}] = x
}

// matches reports whether a complete answer holds what the stand-ins hold of the
// snapshot that it names.
func (t *expectedAnswers) matches(service, query string, a gateway.Answer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.indexes[answerKey{service, a.Snapshot, ""}]
	if !ok || a.Coverage == nil || a.Coverage.Shards != x.Shards || a.Coverage.Records != int64(x.Records) {
		return false
	}
	key := answerKey{service, a.Snapshot, query}
	want, ok := t.items[key]
	if !ok {
		want, _, _ = x.ExpectedAnswer(target.KindSearch, query, "", itemLimit)
		t.items[key] = want
	}
	if len(want) != len(a.Items) {
		return false
	}
	for i := range want {
		if want[i].Key != a.Items[i].Key || !bytes.Equal(want[i].Fields, a.Items[i].Fields) {
			return false
		}
	}
	return true
}
