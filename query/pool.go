package query

import "gopkg.in/tomb.v2"

// Pool is a fixed number of workers that run jobs in order of arrival. It bounds
// how many calls a VM has in flight.
type Pool struct {
	jobs chan func()
	tomb tomb.Tomb
}

// queuedJobsPerWorker is how many jobs may wait for each worker.
const queuedJobsPerWorker = 4

// NewPool starts a pool of n workers.
func NewPool(n int) *Pool {
	p := &Pool{jobs: make(chan func(), n*queuedJobsPerWorker)}
	for range n {
		p.tomb.Go(p.work)
	}
	return p
}

func (p *Pool) work() error {
	for {
		select {
		case job := <-p.jobs:
			job()
		case <-p.tomb.Dying():
			return nil
		}
	}
}

// TryEnqueue queues a job and reports whether there was room for it.
func (p *Pool) TryEnqueue(job func()) bool {
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
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
}
