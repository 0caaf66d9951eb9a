package integration

import (
	"context"
	"fmt"
	"sync"

	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// load asks all daemons in turn from several callers until stop is called, and
// checks each answer.
type load struct {
	c     *cluster
	check func(gateway.Answer, gateway.SearchBody) error

	stopped context.CancelFunc
	wg      sync.WaitGroup

	mu     sync.Mutex // guards what follows
	codes  map[result.Code]int
	faults []string
}

const loadCallers = 4

// startLoad begins to ask. need is the coverage that callers state.
func (c *cluster) startLoad(need float64, limitMS int, check func(gateway.Answer, gateway.SearchBody) error) *load {
	ctx, cancel := context.WithCancel(c.ctx)
	l := &load{c: c, check: check, stopped: cancel, codes: map[result.Code]int{}}
	for caller := range loadCallers {
		l.wg.Go(func() { l.ask(ctx, caller, need, limitMS) })
	}
	return l
}

func (l *load) ask(ctx context.Context, caller int, need float64, limitMS int) {
	for i := caller; ctx.Err() == nil; i++ {
		d := l.c.Daemons[i%len(l.c.Daemons)]
		body := gateway.SearchBody{Query: fmt.Sprintf("q%d", i%7), Explain: true, Coverage: need, TimeLimitMS: limitMS}
		a, _, err := d.Search(l.c.ctx, findSearch, body)
		if err == nil {
			err = l.check(a, body)
			l.count(a)
		}
		if err != nil {
			l.fault(fmt.Sprintf("%s, request %s: %v", d.Name, a.Request, err))
		}
	}
}

func (l *load) count(a gateway.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.codes[result.Code(a.Code)]++
}

func (l *load) fault(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, text)
}

// answered returns how many answers with one of the codes came so far.
func (l *load) answered(codes ...result.Code) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, code := range codes {
		n += l.codes[code]
	}
	return n
}

// stop ends the load and returns the faults found in answers.
func (l *load) stop() []string {
	l.stopped()
	l.wg.Wait()
	return l.faults
}
