// Package ops is the operators' HTTP page of a daemon: health, readiness,
// metrics and the status that the command line reads.
package ops

import "time"

// The paths of the operators' page.
const (
	PathHealth  = "/healthz" // 200 while the process works at all
	PathReady   = "/readyz"  // 200 while it should get callers' requests
	PathMetrics = "/metrics"
	PathProfile = "/profile" // of the processor time, for ?seconds=N, by runtime/pprof
	PathHeap    = "/heap"    // profile of the memory in use, by runtime/pprof
	PathStatus  = "/status"  // Status as JSON
)

// Status is what one VM says of itself.
type Status struct {
	VM          string    `json:"vm"`
	Zone        string    `json:"zone"`
	Deployment  string    `json:"deployment"`
	Incarnation string    `json:"incarnation"`
	Started     time.Time `json:"started"`
	Ready       bool      `json:"ready"`
	Leaving     bool      `json:"leaving"`

	Revision uint64    `json:"revision"` // in force; 0 before the first
	Digest   string    `json:"digest"`
	Since    time.Time `json:"since"`             // when that revision came into force here
	Refused  string    `json:"refused,omitempty"` // why the last head offered was not taken

	PlatformReachable bool      `json:"platform_reachable"`
	PlatformContact   time.Time `json:"platform_contact"` // last successful read
	Peers             int       `json:"peers"`            // other VMs heard from lately
}
