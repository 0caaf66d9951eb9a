package soak

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against a SIGHUP that ends a stopping VM before it has written the end of its log.
func TestHangUpsDoNotEndAStoppingVM(t *testing.T) {
	d := newDeployment(t, rollingBinary(t), defaultOptions(nil))
	d.waitServing(t)
	const pause = 100 * time.Microsecond // between the signals
	var signals sync.WaitGroup
	for _, v := range d.vms {
		v.signal(syscall.SIGTERM)
		signals.Go(func() {
			for running := true; running; {
				select {
				case <-v.exited:
					running = false
				case <-time.After(pause):
					v.signal(syscall.SIGHUP)
				}
			}
		})
	}
	signals.Wait()
	for _, v := range d.vms {
		if status := v.process.ProcessState.String(); status != exitedByItself {
			t.Errorf("%s ended with %q; end of its log:\n%s", v.set.Name, status, v.logTail())
		}
	}
}
