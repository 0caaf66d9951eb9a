package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// validSettings returns settings that pass all checks.
func validSettings(t *testing.T) *Settings {
	key, err := bundle.NewPrivateKey("ana-1", "ana")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return &Settings{
		Name: "vm-1", Deployment: "vatnsleit", Zone: "reykjanes",
		Listen:       Listen{Callers: "127.0.0.1:8001", Ops: "127.0.0.1:8002", Peers: "127.0.0.1:8003"},
		Platform:     Platform{Address: "127.0.0.1:9000"},
		OperatorKeys: []bundle.PublicKey{key.Public()},
		FleetKeys:    []string{"MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE="},
		Log:          Log{Level: "info"},
		LameDuckMS:   3000,
	}
}

// parse encodes s as a settings file, parses that and returns the error.
func parse(t *testing.T, s *Settings) error {
	data, err := json.Marshal(s)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	_, err = Parse(data)
	return err
}

// Guards against a daemon that does not start with valid settings. If there is no settings
// file, the error must have code BadSettings.
func TestLoadValidSettings(t *testing.T) {
	g := NewWithT(t)
	data, err := json.Marshal(validSettings(t))
	g.Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(t.TempDir(), "settings.json")
	g.Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	s, err := Load(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.FleetKeyBytes()).To(HaveLen(1))
	_, err = Load(path + ".absent")
	g.Expect(result.CodeOf(err)).To(Equal(result.BadSettings))
}

// Guards against a daemon that starts although a field of its settings is misspelt, and
// so ignored, or has a value that cannot work. Each of these faults must give an error that
// names the field.
func TestInvalidSettingsNameTheField(t *testing.T) {
	cases := map[string]func(s *Settings){
		"$.name":              func(s *Settings) { s.Name = "" },
		"$.zone":              func(s *Settings) { s.Zone = "" },
		"$.listen.callers":    func(s *Settings) { s.Listen.Callers = "localhost:80" },
		"$.listen.peers_at":   func(s *Settings) { s.Listen.PeersAt = "0.0.0.0" },
		"$.listen.ops":        func(s *Settings) { s.Listen.Ops = "127.0.0.1" },
		"$.platform.address":  func(s *Settings) { s.Platform.Address = "" },
		"$.operator_keys":     func(s *Settings) { s.OperatorKeys = nil },
		"$.operator_keys: ":   func(s *Settings) { s.OperatorKeys[0].Public = "no key" },
		"$.fleet_keys: ":      func(s *Settings) { s.FleetKeys = nil },
		"$.fleet_keys[0]":     func(s *Settings) { s.FleetKeys[0] = "c2hvcnQ=" },
		"$.seeds[0]":          func(s *Settings) { s.Seeds = []string{"vm-2"} },
		"$.log.level":         func(s *Settings) { s.Log.Level = "loud" },
		"$.lame_duck_ms":      func(s *Settings) { s.LameDuckMS = -1 },
		"300000":              func(s *Settings) { s.LameDuckMS = MaxLameDuckMS + 1 },
		"an IP address and p": func(s *Settings) { s.Listen.Peers = "x" },
	}
	for want, corrupt := range cases {
		s := validSettings(t)
		corrupt(s)
		err := parse(t, s)
		g := NewWithT(t)
		g.Expect(result.CodeOf(err)).To(Equal(result.BadSettings), want)
		g.Expect(err).To(MatchError(ContainSubstring(want)))
	}
	_, err := Parse([]byte(`{"nmae":"x"}`))
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("$.nmae")))
}

// Guards against fleet keys in logs: errors are logged, so the error about an invalid key
// must not contain the key.
func TestErrorsDoNotRepeatFleetKeys(t *testing.T) {
	s := validSettings(t)
	s.FleetKeys = []string{"c2VjcmV0LXNlY3JldA=="}
	NewWithT(t).Expect(parse(t, s)).To(MatchError(Not(ContainSubstring("c2VjcmV0"))))
}

// An operator starts from the example settings. They must be valid, or the daemon would not
// start with them.
func TestExampleIsValid(t *testing.T) {
	_, err := Load("../examples/bramleyd.json")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
}
