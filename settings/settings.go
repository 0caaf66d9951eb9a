// Package settings holds a daemon's own settings: what a process must know
// before it can reach the platform. Everything else comes with the bundle.
package settings

import (
	"encoding/base64"

	"github.com/bramleybarrow/bramleybarrow/bundle"
)

// Settings is the JSON settings file of bramleyd.
type Settings struct {
	Name       string   `json:"name"` // of this VM, as in the platform's list
	Deployment string   `json:"deployment"`
	Zone       string   `json:"zone"`
	Listen     Listen   `json:"listen"`
	Platform   Platform `json:"platform"`
	// OperatorKeys are the public keys whose signatures count. Two keys of one
	// person are valid at once during a rotation.
	OperatorKeys []bundle.PublicKey `json:"operator_keys"`
	// FleetKeys are shared by the VMs of the deployment, newest first, in
	// base64. Each proves membership; the first is offered.
	FleetKeys []string `json:"fleet_keys"`
	// Seeds are addresses of other VMs' peer listeners, asked when neither the
	// platform nor a peer names any. They let a fleet start while the platform
	// is down.
	Seeds      []string `json:"seeds,omitempty"`
	Log        Log      `json:"log"`
	LameDuckMS int      `json:"lame_duck_ms"` // serving time after SIGTERM, longer than the balancer's lag
}

// Listen holds the IP addresses and ports that a daemon serves.
type Listen struct {
	Callers string `json:"callers"`
	Ops     string `json:"ops"`
	Peers   string `json:"peers"`
	// PeersAt is where other VMs reach Peers, if that is another address: behind
	// address translation, or if Peers is a wildcard.
	PeersAt string `json:"peers_at,omitempty"`
}

// PeersAddress returns the address that other VMs dial.
func (l Listen) PeersAddress() string {
	if l.PeersAt != "" {
		return l.PeersAt
	}
	return l.Peers
}

// Platform says where the platform's object API is.
type Platform struct {
	Address string `json:"address"` // IP and port
}

// Log governs the daemon's log.
type Log struct {
	Level string `json:"level"` // debug, info, warn or error
	JSON  bool   `json:"json"`
}

// FleetKeyBytes returns the fleet keys decoded. Settings have been checked.
func (s *Settings) FleetKeyBytes() [][]byte {
	keys := make([][]byte, 0, len(s.FleetKeys))
	for _, k := range s.FleetKeys {
		if raw, err := base64.StdEncoding.DecodeString(k); err == nil {
			keys = append(keys, raw)
		}
	}
	return keys
}
