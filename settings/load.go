package settings

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/strictjson"
	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// MinFleetKeyBytes is the minimum length of a decoded fleet key, in bytes. The maximum
// is twice this length.
const MinFleetKeyBytes = 32

// MaxLameDuckMS is the largest value of Settings.LameDuckMS: 5 minutes, in milliseconds.
const MaxLameDuckMS = 300_000

// Load reads and validates a settings file. Errors have code BadSettings. For invalid
// settings, the error names each invalid field, what was found and what is allowed.
func Load(path string) (*Settings, error) {
	s := &Settings{}
	return s, LoadInto(path, s, s.validate)
}

// Parse decodes and validates the content of a settings file. Errors are the same as
// those of Load.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	return s, ParseInto(data, s, s.validate)
}

// LoadInto reads a settings file and decodes its JSON into the struct that into points to.
// If the decoding succeeds, it calls check, which returns a finding for each invalid field.
// Errors are the same as those of Load.
func LoadInto(path string, into any, check func() []strictjson.Finding) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return result.Wrap(result.BadSettings, err, "reading the settings file failed")
	}
	return ParseInto(data, into, check)
}

// ParseInto does the same as LoadInto with data, the content of a settings file.
func ParseInto(data []byte, into any, check func() []strictjson.Finding) error {
	findings := strictjson.Decode(data, into)
	if len(findings) == 0 {
		findings = check()
	}
	if len(findings) == 0 {
		return nil
	}
	lines := make([]string, len(findings))
	for i, f := range findings {
		lines[i] = f.String()
	}
	return result.Errorf(result.BadSettings, "%s", strings.Join(lines, "; "))
}

// validate returns a finding for each invalid field of the settings.
func (s *Settings) validate() []strictjson.Finding {
	var c validator
	c.nonEmpty("$.name", s.Name)
	c.nonEmpty("$.deployment", s.Deployment)
	c.nonEmpty("$.zone", s.Zone)
	c.address("$.listen.callers", s.Listen.Callers)
	c.address("$.listen.ops", s.Listen.Ops)
	c.address("$.listen.peers", s.Listen.Peers)
	if s.Listen.PeersAt != "" {
		c.address("$.listen.peers_at", s.Listen.PeersAt)
	}
	c.address("$.platform.address", s.Platform.Address)
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("$.seeds[%d]", i), seed)
	}
	if _, err := bundle.NewKeyring(s.OperatorKeys...); err != nil {
		c.add("$.operator_keys", err.Error(), "distinct ids, each with a person and a base64 Ed25519 public key")
	}
	if len(s.OperatorKeys) == 0 {
		c.add("$.operator_keys", "none", "at least one key")
	}
	for i, k := range s.FleetKeys {
		c.base64Key(fmt.Sprintf("$.fleet_keys[%d]", i), k, MinFleetKeyBytes, MinFleetKeyBytes*2)
	}
	if n := len(s.FleetKeys); n < 1 || n > 2 {
		c.add("$.fleet_keys", fmt.Sprintf("%d keys", n), "1 key, or 2 during a rotation")
	}
	if _, err := logging.ParseLevel(s.Log.Level); err != nil {
		c.add("$.log.level", s.Log.Level, logging.Levels)
	}
	if s.LameDuckMS < 0 || s.LameDuckMS > MaxLameDuckMS {
		c.add("$.lame_duck_ms", fmt.Sprint(s.LameDuckMS), fmt.Sprintf("0 to %d", MaxLameDuckMS))
	}
	return c.findings
}

// validator collects the findings on a settings file. Its methods take the JSON path of a
// field and the value found there, and add a finding if the value is invalid.
type validator struct{ findings []strictjson.Finding }

// add adds a finding: the path of the field, what was found there and what is allowed.
func (c *validator) add(path, found, allowed string) {
	c.findings = append(c.findings, strictjson.Finding{Path: path, Found: found, Allowed: allowed})
}

// nonEmpty adds a finding if the value found is empty.
func (c *validator) nonEmpty(path, found string) {
	if found == "" {
		c.add(path, `""`, "a name")
	}
}

// address adds a finding if the value found is not an IP address with a port.
func (c *validator) address(path, found string) {
	if _, err := netip.ParseAddrPort(found); err != nil {
		c.add(path, fmt.Sprintf("%q", found), "an IP address and port, such as 10.0.0.7:8001")
	}
}

// base64Key adds a finding if the value found is not base64, or if the decoded key has
// fewer than low or more than high bytes. The finding does not contain the key itself.
func (c *validator) base64Key(path, found string, low, high int) {
	raw, err := base64.StdEncoding.DecodeString(found)
	if err != nil {
		c.add(path, "not base64", "base64 of a key")
		return
	}
	if len(raw) < low || len(raw) > high {
		c.add(path, fmt.Sprintf("%d bytes", len(raw)), fmt.Sprintf("%d to %d bytes", low, high))
	}
}
