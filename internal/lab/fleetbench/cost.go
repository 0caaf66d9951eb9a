package fleetbench

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/internal/lab/platformsim"
)

// samples holds the measured values of one quantity: one value per daemon, or one per
// repetition of the measurement.
type samples struct{ values []float64 }

// add adds one value.
func (s *samples) add(v float64) { s.values = append(s.values, v) }

// mean returns the mean value, or 0 if there is none.
func (s samples) mean() float64 {
	sum := 0.0
	for _, v := range s.values {
		sum += v
	}
	return sum / math.Max(float64(len(s.values)), 1)
}

// max returns the largest value, or NaN if there is none.
func (s samples) max() float64 {
	if len(s.values) == 0 {
		return math.NaN()
	}
	return slices.Max(s.values)
}

// String returns the mean and the maximum, separated by a slash.
func (s samples) String() string { return fmt.Sprintf("%.2f/%.2f", s.mean(), s.max()) }

// cost holds the mean rates during one phase of the benchmark, such as the rollouts. All
// rates are per second except cpu. The samples have one value per daemon. Status targets
// are targets in this process that serve only their status.
type cost struct {
	cpu            samples // processor time, in percent of one core
	bytesOut       samples // bytes sent to peers
	bytesIn        samples // bytes received from peers
	messages       samples // messages sent to peers
	statusReads    samples // reads of targets' status, directly or through a VM that owns the target's connections
	readsPerTarget float64 // reads of one status target's status by the whole fleet, on average over the status targets
	platformReads  float64 // reads from the platform, including watches, by the whole fleet
	platformWrites float64 // puts and deletes on the platform, by the whole fleet
}

// usage holds the totals of one daemon since its start: seconds of processor time, bytes
// sent to peers, bytes received from peers, messages sent to peers, and reads of targets'
// status. The fields of the same names in cost are the rates computed from them.
type usage struct{ cpu, bytesOut, bytesIn, messages, statusReads float64 }

// clockTicksPerSecond gives the unit of processor times in /proc: 1/100 s.
const clockTicksPerSecond = 100

// measureCost runs work and returns the mean rates of the daemons, the status targets and
// the platform during that time.
func (r *runningFleet) measureCost(work func() error) (cost, error) {
	var out cost
	before, callsBefore, err := r.daemonUsage()
	if err != nil {
		return out, err
	}
	begin, statusReadsBefore := time.Now(), r.statusTargets.statusReads.Load()
	if err := work(); err != nil {
		return out, err
	}
	seconds := time.Since(begin).Seconds()
	after, callsAfter, err := r.daemonUsage()
	if err != nil {
		return out, err
	}
	for i := range after {
		out.cpu.add(100 * (after[i].cpu - before[i].cpu) / seconds)
		out.bytesOut.add((after[i].bytesOut - before[i].bytesOut) / seconds)
		out.bytesIn.add((after[i].bytesIn - before[i].bytesIn) / seconds)
		out.messages.add((after[i].messages - before[i].messages) / seconds)
		out.statusReads.add((after[i].statusReads - before[i].statusReads) / seconds)
	}
	out.readsPerTarget = float64(r.statusTargets.statusReads.Load()-statusReadsBefore) / seconds / math.Max(float64(r.opts.StatusTargets), 1)
	out.platformReads = float64(countReads(callsAfter)-countReads(callsBefore)) / seconds
	out.platformWrites = float64(callsAfter.Put+callsAfter.Delete-callsBefore.Put-callsBefore.Delete) / seconds
	return out, nil
}

// daemonUsage returns the totals of each daemon, in the order of r.daemons, and the
// counters of the platform.
func (r *runningFleet) daemonUsage() ([]usage, platformsim.Counters, error) {
	var list []usage
	for _, d := range r.daemons {
		values, err := d.Metrics()
		if err != nil {
			return nil, platformsim.Counters{}, err
		}
		cpu, err := cpuSeconds(d.Pid())
		if err != nil {
			return nil, platformsim.Counters{}, err
		}
		list = append(list, usage{
			cpu:      cpu,
			bytesOut: values[`bramley_peer_bytes_total{direction="out"}`],
			bytesIn:  values[`bramley_peer_bytes_total{direction="in"}`],
			messages: values[`bramley_peer_messages_total`],
			// No queries run, so all calls to targets are status reads.
			statusReads: values[`bramley_route_calls_total{path="direct"}`] + values[`bramley_route_calls_total{path="owner"}`],
		})
	}
	calls, err := r.platform.Counters()
	return list, calls, errors.Trace(err)
}

// lastDrainLearned returns the seconds from publishedAt, the time at which the latest drain
// was published, until the last daemon received that drain. Want is the number of drains
// published so far. lastDrainLearned returns an error if a daemon holds fewer drains than
// want and than maxDrainsPerTarget, the most that a daemon keeps.
func (r *runningFleet) lastDrainLearned(publishedAt time.Time, want int) (float64, error) {
	lastUnix := 0.0 // when the last daemon received the drain, in Unix seconds
	for _, d := range r.daemons {
		values, err := d.Metrics()
		if err != nil {
			return 0, err
		}
		if received := values["bramley_peer_drains"]; int(received) < min(want, maxDrainsPerTarget) {
			return 0, errors.Errorf("%s has received %v of %d drains", d.Name, received, want)
		}
		lastUnix = max(lastUnix, values["bramley_peer_drain_learned_seconds"])
	}
	return lastUnix - float64(publishedAt.UnixNano())/float64(time.Second), nil
}

// maxDrainsPerTarget is the largest number of drains of one target that a daemon keeps.
const maxDrainsPerTarget = 4

// Indexes of fields of /proc/PID/stat after the command's name, counted from 0.
const (
	statUserTime   = 11 // index, after the command's name, of the processor time in user mode
	statSystemTime = 12 // index, after the command's name, of the processor time in the kernel
)

// cpuSeconds returns the processor time, user and system, that a process has used since
// its start.
func cpuSeconds(pid int) (float64, error) {
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0, errors.Trace(err)
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, err := strconv.Atoi(fields[statUserTime])
	if err != nil {
		return 0, errors.Trace(err)
	}
	system, err := strconv.Atoi(fields[statSystemTime])
	return float64(user+system) / clockTicksPerSecond, errors.Trace(err)
}

// memoryUse returns the resident memory of each daemon in MiB, as /proc/PID/status states it.
func (r *runningFleet) memoryUse() (samples, error) {
	var out samples
	for _, d := range r.daemons {
		data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(d.Pid()), "status"))
		if err != nil {
			return out, errors.Trace(err)
		}
		for line := range strings.Lines(string(data)) {
			var kb float64
			if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kb); n == 1 {
				out.add(kb / 1024)
			}
		}
	}
	return out, nil
}
