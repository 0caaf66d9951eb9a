package query

import "gopkg.in/tomb.v2"

// Pool runs jobs on a fixed number of workers and starts them in the order in which
// they were queued. It bounds how many calls a VM has in flight. It is safe for
// concurrent use.
type Pool struct {
	jobs chan func() // the queue
	tomb tomb.Tomb   // runs the workers
}

// queuedJobsPerWorker is the capacity of the queue of waiting jobs, in jobs per worker.
const queuedJobsPerWorker = 4

// NewPool starts a pool of n workers.
func NewPool(n int) *Pool {
	p := &Pool{jobs: make(chan func(), n*queuedJobsPerWorker)}
	for range n {
		p.tomb.Go(p.work)
	}
	return p
}

// work is one worker: it runs queued jobs one after another until Stop is called.
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

// TryEnqueue queues a job. It returns false if the queue is full.
func (p *Pool) TryEnqueue(job func()) bool {
	select {
	case p.jobs <- job:
		return true
	default:
		return false
	}
}

// Stop ends the workers and waits until their running jobs are done. Jobs that are still
// queued are dropped.
func (p *Pool) Stop() {
	p.tomb.Kill(nil)
	_ = p.tomb.Wait()
}
