// Package settings defines the settings file of a daemon. The file contains what a process
// must know before it has a bundle, such as the platform's address. Everything else is in
// the bundle.
package settings

import (
	"encoding/base64"

	"github.com/bramleybarrow/bramleybarrow/bundle"
)

// Settings is the JSON settings file of bramleyd.
type Settings struct {
	Name       string   `json:"name"`       // name of this VM in the platform's list
	Deployment string   `json:"deployment"` // name of the deployment that this VM belongs to
	Zone       string   `json:"zone"`       // availability zone of this VM
	Listen     Listen   `json:"listen"`
	Platform   Platform `json:"platform"`
	// OperatorKeys are the public keys of the persons whose signatures on bundles,
	// sign-offs and changes are accepted. One person may have two active keys during a
	// rotation.
	OperatorKeys []bundle.PublicKey `json:"operator_keys"`
	// FleetKeys are the base64 keys that the VMs of the deployment share, newest
	// first. Holding one of them proves that a VM belongs to the deployment. A connection
	// between two VMs uses the first key of the dialling VM that both hold.
	FleetKeys []string `json:"fleet_keys"`
	// Seeds are addresses (IP and port) at which other VMs listen for their peers. They
	// are used when neither the platform nor a peer names any VM, so that a fleet can
	// start while the platform is down.
	Seeds []string `json:"seeds,omitempty"`
	Log   Log      `json:"log"`
	// LameDuckMS is the time, in milliseconds, for which requests are still served after
	// SIGTERM. It should exceed the load balancer's lag: the time until the load balancer
	// stops sending requests to this VM.
	LameDuckMS int `json:"lame_duck_ms"`
}

// Listen holds the addresses that a daemon listens on, each an IP and port.
type Listen struct {
	Callers string `json:"callers"` // for callers' requests
	Ops     string `json:"ops"`     // for the operators' page
	Peers   string `json:"peers"`   // for connections from other VMs
	// PeersAt is the address at which other VMs reach Peers, if that address differs from
	// Peers: behind address translation, or if Peers is a wildcard address.
	PeersAt string `json:"peers_at,omitempty"`
}

// PeersAddress returns the address at which other VMs connect to this one.
func (l Listen) PeersAddress() string {
	if l.PeersAt != "" {
		return l.PeersAt
	}
	return l.Peers
}

// Platform holds the address of the platform's object API.
type Platform struct {
	Address string `json:"address"` // IP and port
}

// Log configures the daemon's log.
type Log struct {
	Level string `json:"level"` // debug, info, warn or error
	JSON  bool   `json:"json"`  // write log lines as JSON
}

// FleetKeyBytes returns the decoded fleet keys. The settings must be validated: keys that
// are not base64 are left out.
func (s *Settings) FleetKeyBytes() [][]byte {
	keys := make([][]byte, 0, len(s.FleetKeys))
	for _, k := range s.FleetKeys {
		if raw, err := base64.StdEncoding.DecodeString(k); err == nil {
			keys = append(keys, raw)
		}
	}
	return keys
}
