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

// MinFleetKeyBytes is the least length of a fleet key, in bytes.
const MinFleetKeyBytes = 32

// MaxLameDuckMS bounds lame_duck_ms.
const MaxLameDuckMS = 300_000

// Load reads and checks a settings file. The error names each field that is
// amiss, what was found and what is allowed.
func Load(path string) (*Settings, error) {
	s := &Settings{}
	return s, LoadInto(path, s, s.validate)
}

// Parse reads and checks settings.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	return s, ParseInto(data, s, s.validate)
}

// LoadInto reads a settings file into the struct that into points at, and checks what
// was read.
func LoadInto(path string, into any, check func() []strictjson.Finding) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return result.Wrap(result.BadSettings, err, "the file cannot be read")
	}
	return ParseInto(data, into, check)
}

// ParseInto reads settings into the struct that into points at, and checks what was read.
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

type validator struct{ findings []strictjson.Finding }

func (c *validator) add(path, found, allowed string) {
	c.findings = append(c.findings, strictjson.Finding{Path: path, Found: found, Allowed: allowed})
}

func (c *validator) nonEmpty(path, found string) {
	if found == "" {
		c.add(path, `""`, "a name")
	}
}

func (c *validator) address(path, found string) {
	if _, err := netip.ParseAddrPort(found); err != nil {
		c.add(path, fmt.Sprintf("%q", found), "an IP address and port, such as 10.0.0.7:8001")
	}
}

// base64Key checks a key. The key itself is not repeated in the finding.
func (c *validator) base64Key(path, found string, low, high int) {
	raw, err := base64.StdEncoding.DecodeString(found)
	if err != nil {
		c.add(path, "no base64", "base64 of a key")
		return
	}
	if len(raw) < low || len(raw) > high {
		c.add(path, fmt.Sprintf("%d bytes", len(raw)), fmt.Sprintf("%d to %d bytes", low, high))
	}
}
