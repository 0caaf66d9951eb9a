package query

import "gopkg.in/tomb.v2"

// Pool is a fixed number of workers that run jobs in order of arrival. It bounds
// how many calls a VM has in flight.
type Pool struct {
	jobs chan func()
	t    tomb.Tomb
}

// jobsPerWorker is how many jobs may wait for each worker.
const jobsPerWorker = 4

// NewPool starts a pool of n workers.
func NewPool(n int) *Pool {
	p := &Pool{jobs: make(chan func(), n*jobsPerWorker)}
	for range n {
		p.t.Go(p.work)
	}
	return p
}

func (p *Pool) work() error {
	for {
		select {
		case job := <-p.jobs:
			job()
		case <-p.t.Dying():
			return nil
		}
	}
}

// Try queues a job and reports whether there was room for it.
func (p *Pool) Try(job func()) bool {
	select {
	case p.jobs <- job:
		return true
	default:
		return false
	}
}

// Stop ends the workers once their present jobs are done. Jobs that still wait
// are not run.
func (p *Pool) Stop() {
	p.t.Kill(nil)
	_ = p.t.Wait()
}
