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

// Parameters of the generated load.
const (
	maxInFlight     = 6000             // most queries without an answer at one time; a query beyond these is dropped and counted
	distinctQueries = 40               // number of different query texts
	itemLimit       = 10               // items requested per query
	callTimeout     = 20 * time.Second // time after which the benchmark gives up a query without an answer
)

// Sample holds the results of one or several windows (periods of load) on one service.
// Latencies are measured from the time at which the schedule was to send a
// request, so they include the delay of a request that was sent late.
type Sample struct {
	Sent         int                     // scheduled requests, including the dropped ones
	Dropped      int                     // scheduled requests not sent, because maxInFlight requests were in flight
	Refused      int                     // requests refused at admission, before any call to a target
	Complete     int                     // requests answered with result code Complete
	InTime       int                     // requests answered Complete within the time limit by the caller's clock
	Wrong        int                     // requests answered Complete, but not with the content of the targets' index
	Failed       int                     // requests without an answer, or with one that could not be decoded
	MinLeafCalls int                     // leaf calls that the requests not refused need at least: one per shard and request
	Coverage     float64                 // sum of the answers' coverage ratios
	Latency      *hdrhistogram.Histogram // latencies of the requests not refused, in microseconds
	Codes        map[int]int             // answers by result code; 0 counts requests without an answer
	Seconds      float64                 // length of all windows together
}

// newSample returns a Sample without results. It records latencies up to 60 s.
func newSample() *Sample {
	const (
		longest           = int64(60 * time.Second / time.Microsecond) // longest latency that is recorded, in microseconds
		significantDigits = 3                                          // precision of the recorded latencies
	)
	return &Sample{Latency: hdrhistogram.New(1, longest, significantDigits), Codes: map[int]int{}}
}

// add adds the results of other, such as those of another window.
func (s *Sample) add(other *Sample) {
	s.Sent += other.Sent
	s.Dropped += other.Dropped
	s.Refused += other.Refused
	s.Complete += other.Complete
	s.InTime += other.InTime
	s.Wrong += other.Wrong
	s.Failed += other.Failed
	s.MinLeafCalls += other.MinLeafCalls
	s.Coverage += other.Coverage
	s.Seconds += other.Seconds
	s.Latency.Merge(other.Latency)
	for code, n := range other.Codes {
		s.Codes[code] += n
	}
}

// stream is the load on one service and its results.
type stream struct {
	service Service
	rate    float64 // queries per second
	sample  *Sample // results of one window
}

// loader sends queries to the daemons and records the answers.
type loader struct {
	client    *http.Client
	daemons   []string         // the daemons' addresses for callers
	timeLimit time.Duration    // complete answers within it count as Sample.InTime
	expected  *expectedAnswers // to detect wrong answers

	mu sync.Mutex // guards the streams' samples while queries are in flight
}

// newLoader returns a loader that sends queries to the daemons with these addresses for
// callers. The caller of newLoader closes the idle connections of the loader's client
// when it no longer needs the loader.
func newLoader(daemons []string, timeLimit time.Duration, expected *expectedAnswers) *loader {
	dialer := &net.Dialer{Timeout: callTimeout}
	return &loader{
		client: &http.Client{
			Timeout:   callTimeout,
			Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxInFlight},
		},
		daemons: daemons, timeLimit: timeLimit, expected: expected,
	}
}

// run sends the queries of all streams for a window of time and waits for the answers.
// The arrivals of each stream are a Poisson process generated from the seed. The load
// is open-loop: an arrival does not wait for earlier answers.
func (l *loader) run(ctx context.Context, streams []stream, policy string, window time.Duration, seed uint64) {
	inFlight := make(chan struct{}, maxInFlight)
	begin := time.Now()
	var wg sync.WaitGroup
	for i, s := range streams {
		s.sample.Seconds = window.Seconds()
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Go(func() { l.runStream(ctx, s, policy, begin, window, rng, inFlight, &wg) })
	}
	wg.Wait()
}

// runStream sends the queries of one stream, each from its own goroutine in wg. It returns
// when the window that started at begin has ended, without waiting for the answers. The
// capacity of inFlight bounds the queries without an answer; a query beyond it is dropped
// and counted.
func (l *loader) runStream(ctx context.Context, s stream, policy string, begin time.Time, window time.Duration,
	rng *rand.Rand, inFlight chan struct{}, wg *sync.WaitGroup) {
	sendAt := begin
	for {
		sendAt = sendAt.Add(time.Duration(rng.ExpFloat64() / s.rate * float64(time.Second)))
		if sendAt.Sub(begin) >= window || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(sendAt))
		daemon, query := l.daemons[rng.IntN(len(l.daemons))], rng.IntN(distinctQueries)
		select {
		case inFlight <- struct{}{}:
		default:
			l.update(s.sample, func(sample *Sample) { sample.Sent++; sample.Dropped++ })
			continue
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			l.sendQuery(ctx, s, policy, daemon, query, sendAt)
		})
	}
}

// sendQuery sends the query with the number query to a daemon and adds the result to the
// stream's sample. The latency is measured from intended, the time at which the schedule was
// to send the query.
func (l *loader) sendQuery(ctx context.Context, s stream, policy, daemon string, query int, intended time.Time) {
	svc := s.service
	text := queryText(query)
	answer, err := l.post(ctx, daemon, searchName(svc.Name, policy), gateway.SearchBody{Query: text, Limit: itemLimit})
	took := time.Since(intended)
	wrong := err == nil && answer.Code == int(result.Complete) && !l.expected.matches(svc.Name, text, answer)
	l.update(s.sample, func(sample *Sample) {
		sample.Sent++
		sample.Codes[answer.Code]++
		if err == nil && refused(answer) {
			sample.Refused++
			return
		}
		sample.Latency.RecordValue(took.Microseconds())
		sample.MinLeafCalls += minLeafCalls(svc, answer)
		if err != nil {
			sample.Failed++
			return
		}
		if answer.Coverage != nil {
			sample.Coverage += answer.Coverage.Ratio
		}
		if answer.Code == int(result.Complete) {
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

// update calls f on the sample with mu locked. The caller must not hold mu.
func (l *loader) update(s *Sample, f func(*Sample)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(s)
}

// refused reports whether the daemon refused the query before it called a leaf.
func refused(answer gateway.Answer) bool {
	return answer.Code == int(result.Overloaded) || answer.Code == int(result.CannotMeetLimit)
}

// minLeafCalls returns the least number of leaf calls that a query of svc needs: one for
// each shard. An answer with coverage states the number of shards, which an index switch
// changes. Without coverage the number is that of svc.
func minLeafCalls(svc Service, answer gateway.Answer) int {
	if answer.Coverage != nil {
		return answer.Coverage.Shards
	}
	return svc.Shards
}

// post sends a search to a daemon and decodes the answer, whatever its HTTP status.
func (l *loader) post(ctx context.Context, daemon, search string, body gateway.SearchBody) (gateway.Answer, error) {
	var answer gateway.Answer
	data, err := json.Marshal(body)
	if err != nil {
		return answer, err
	}
	url := fmt.Sprintf("http://%s/v1/search/%s", daemon, search)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return answer, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(raw, &answer)
}

// queryText returns the text of query i of distinctQueries.
func queryText(i int) string { return fmt.Sprintf("well %d", i) }

// expectedAnswers computes the content of complete answers from the targets'
// indexes. It is safe for concurrent use.
type expectedAnswers struct {
	mu      sync.Mutex                    // guards indexes and items
	indexes map[answerKey]targetsim.Index // by service and snapshot; the query in a key is empty
	items   map[answerKey][]target.Item   // cached items of complete answers
}

// answerKey identifies a complete answer: all answers to a query from the same snapshot of
// a service have the same content.
type answerKey struct{ service, snapshot, query string }

// newExpectedAnswers returns an expectedAnswers without indexes.
func newExpectedAnswers() *expectedAnswers {
	return &expectedAnswers{indexes: map[answerKey]targetsim.Index{}, items: map[answerKey][]target.Item{}}
}

// addIndex adds the index of one snapshot of a service.
func (e *expectedAnswers) addIndex(index targetsim.Index) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.indexes[answerKey{index.Service, index.Snapshot, ""}] = index
}

// matches reports whether a complete answer to query has the content that is expected from
// the snapshot that the answer names. The content is the numbers of shards and records, and
// the items' keys and fields.
func (e *expectedAnswers) matches(service, query string, answer gateway.Answer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	index, ok := e.indexes[answerKey{service, answer.Snapshot, ""}]
	if !ok || answer.Coverage == nil || answer.Coverage.Shards != index.Shards || answer.Coverage.Records != int64(index.Records) {
		return false
	}
	key := answerKey{service, answer.Snapshot, query}
	want, ok := e.items[key]
	if !ok {
		want, _, _ = index.ExpectedAnswer(target.KindSearch, query, "", itemLimit)
		e.items[key] = want
	}
	if len(want) != len(answer.Items) {
		return false
	}
	for i := range want {
		if want[i].Key != answer.Items[i].Key || !bytes.Equal(want[i].Fields, answer.Items[i].Fields) {
			return false
		}
	}
	return true
}
