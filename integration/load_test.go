package integration

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// load sends searches to some daemons in turn from loadCallers concurrent callers until
// stop is called, and checks each answer.
type load struct {
	c       *cluster
	daemons []*fleet.Daemon
	check   func(gateway.Answer, gateway.SearchBody) error

	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex          // guards the fields below
	codes      map[result.Code]int // number of answers by their code
	notRun     []string            // IDs of requests whose answer says "not run"
	failures   []string            // failed calls, and answers that check rejected
	incomplete []string            // a description of each answer whose code is not Complete
}

// loadCallers is the number of concurrent callers of a load.
const loadCallers = 4

// startLoad starts a load on all daemons. required is the coverage, as a share of the
// shards, that half of the callers require; the other half require full coverage. limitMS
// is the time limit of each search, or 0 for the bundle's default. check gets each answer
// with its request body.
func (c *cluster) startLoad(required float64, limitMS int, check func(gateway.Answer, gateway.SearchBody) error) *load {
	return c.startLoadOn(c.Daemons, required, limitMS, check)
}

// startLoadOn starts a load on the given daemons. required is the coverage, as a share of
// the shards, that half of the callers require; the other half require full coverage.
// limitMS is the time limit of each search, or 0 for the bundle's default. check gets each
// answer with its request body.
func (c *cluster) startLoadOn(daemons []*fleet.Daemon, required float64, limitMS int, check func(gateway.Answer, gateway.SearchBody) error) *load {
	ctx, cancel := context.WithCancel(c.ctx)
	l := &load{c: c, daemons: daemons, check: check, cancel: cancel, codes: map[result.Code]int{}}
	for caller := range loadCallers {
		coverage := 1.0
		if caller%2 == 0 {
			coverage = required
		}
		l.wg.Go(func() { l.run(ctx, caller, coverage, limitMS) })
	}
	return l
}

// run sends searches one after another until ctx ends. caller is the number of the caller,
// and required the coverage that it requires.
func (l *load) run(ctx context.Context, caller int, required float64, limitMS int) {
	for i := caller; ctx.Err() == nil; i++ {
		d := l.daemons[i%len(l.daemons)]
		body := gateway.SearchBody{Query: fmt.Sprintf("q%d", i%7), Explain: true, Coverage: required, TimeLimitMS: limitMS}
		a, _, err := d.Search(l.c.ctx, findSearch, body)
		if err == nil {
			err = l.check(a, body)
			l.record(d, a)
		}
		if err != nil {
			l.addFailure(fmt.Sprintf("%s, request %s: %v", d.Name, a.Request, err))
		}
	}
}

// record counts the answer by its code, and notes it if it is not complete or says "not
// run".
func (l *load) record(d *fleet.Daemon, a gateway.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.codes[result.Code(a.Code)]++
	if result.Code(a.Code) != result.Complete {
		l.incomplete = append(l.incomplete, fmt.Sprintf("%s %s: code %d after %.0f ms, %+v", time.Now().Format(time.TimeOnly), d.Name, a.Code, a.TookMS, a.Coverage))
	}
	if a.Ran == result.RanNo.String() {
		l.notRun = append(l.notRun, a.Request)
	}
}

func (l *load) addFailure(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, text)
}

// answered returns how many answers with one of the codes were received so far.
func (l *load) answered(codes ...result.Code) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, code := range codes {
		n += l.codes[code]
	}
	return n
}

// stop ends the load and returns all failures. They include each answer that says "not
// run" to a request that a target started by its own records, so all targets must be
// running.
func (l *load) stop() []string {
	l.cancel()
	l.wg.Wait()
	ran := l.c.searchAttempts()
	for _, id := range l.notRun {
		if n := ran[id]; n > 0 {
			l.failures = append(l.failures, fmt.Sprintf("request %s was answered \"not run\", but targets started %d attempts", id, n))
		}
	}
	return l.failures
}
