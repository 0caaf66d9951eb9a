// Package ops serves the operators' HTTP page of a daemon: health, readiness, metrics,
// profiles, and the status that the command line reads.
package ops

import "time"

// The paths of the operators' page.
const (
	PathHealth  = "/healthz" // answers 200 while the process runs
	PathReady   = "/readyz"  // answers 200 while the VM should receive callers' requests, else 503
	PathMetrics = "/metrics" // metrics in the Prometheus text format
	PathProfile = "/profile" // CPU profile of runtime/pprof over ?seconds=N
	PathHeap    = "/heap"    // heap profile of runtime/pprof
	PathStatus  = "/status"  // Status as JSON
)

// Status is the state of one VM as it reports it.
type Status struct {
	VM          string    `json:"vm"`   // name of the VM
	Zone        string    `json:"zone"` // availability zone of the VM
	Deployment  string    `json:"deployment"`
	Incarnation string    `json:"incarnation"` // random id of the daemon's process
	Started     time.Time `json:"started"`     // when the daemon's process started
	Ready       bool      `json:"ready"`       // the VM should receive callers' requests
	Leaving     bool      `json:"leaving"`     // the VM is shutting down

	Revision uint64    `json:"revision"`          // in force on this VM: number of the last change that it applied; 0 before the first
	Digest   string    `json:"digest"`            // of the bundle in force
	Since    time.Time `json:"since"`             // when Revision came into force on this VM
	Refused  string    `json:"refused,omitempty"` // why the last offered head was refused; empty if a head came into force since

	PlatformReachable bool      `json:"platform_reachable"` // the last successful read from the platform is recent
	PlatformContact   time.Time `json:"platform_contact"`   // time of the last successful read from the platform
	Peers             int       `json:"peers"`              // number of other VMs that sent a message recently
}
