// Package ops serves the operators' HTTP page of a daemon: health, readiness, metrics,
// profiles, and the status that the command line reads.
package ops

import "time"

// The paths of the operators' page.
const (
	PathHealth  = "/healthz" // 200 while the process runs
	PathReady   = "/readyz"  // 200 while it should receive callers' requests, else 503
	PathMetrics = "/metrics" // Prometheus text format
	PathProfile = "/profile" // CPU profile of runtime/pprof over ?seconds=N
	PathHeap    = "/heap"    // heap profile of runtime/pprof
	PathStatus  = "/status"  // Status as JSON
)

// Status is the state of one VM as it reports it.
type Status struct {
	VM          string    `json:"vm"`
	Zone        string    `json:"zone"`
	Deployment  string    `json:"deployment"`
	Incarnation string    `json:"incarnation"`
	Started     time.Time `json:"started"`
	Ready       bool      `json:"ready"`
	Leaving     bool      `json:"leaving"`

	Revision uint64    `json:"revision"`          // in force; 0 before the first
	Digest   string    `json:"digest"`            // of the bundle in force
	Since    time.Time `json:"since"`             // when that revision came into force on this VM
	Refused  string    `json:"refused,omitempty"` // why the last offered head was refused; empty if one came into force since

	PlatformReachable bool      `json:"platform_reachable"`
	PlatformContact   time.Time `json:"platform_contact"` // last successful read from the platform
	Peers             int       `json:"peers"`            // other VMs that sent a message recently
}
