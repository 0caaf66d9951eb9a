package edge

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// validSettings is a settings file in which every field is set to an allowed value.
const validSettings = `{
  "name": "vm-1", "zone": "a",
  "listen": {"callers": "127.0.0.1:1", "ready": "127.0.0.1:2", "vms": "127.0.0.1:3", "metrics": "127.0.0.1:4"},
  "store": "127.0.0.1:5", "first_start": true, "grace_s": 6,
  "bounds": {"manifest_ms": 3000, "drain_ms": 3000},
  "budget": {"ratio": 0.2, "floor": 54, "window_s": 10},
  "power": 0.4, "memory_mb": 284, "log_level": "info"
}`

// Guards against valid settings that are rejected, or whose values are not read: a daemon would
// not start, or would run with zero values.
func TestParseSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := ParseSettings([]byte(validSettings))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Budget.Floor).To(gomega.Equal(54.0))
}

// Guards against a daemon that starts with an invalid setting, such as an invalid store
// address or a bound of 0, and fails hours later. All invalid fields are reported before the
// start.
func TestAllInvalidSettingsAreReported(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := ParseSettings([]byte(`{
  "name": "", "zone": "a",
  "listen": {"callers": "nowhere", "ready": "127.0.0.1:2", "vms": "127.0.0.1:3", "metrics": "127.0.0.1:4"},
  "store": "127.0.0.1:5", "first_start": true, "grace_s": 0,
  "bounds": {"manifest_ms": 3000, "drain_ms": 1000},
  "budget": {"ratio": -1, "floor": 54, "window_s": 10},
  "room": {"hand_over": true, "spill": true},
  "power": 0.4, "memory_mb": 284, "log_level": "loud"
}`))
	g.Expect(result.CodeOf(err)).To(gomega.Equal(result.BadSettings))
	for _, path := range []string{"$.name", "$.listen.callers", "$.grace_s", "$.bounds.drain_ms", "$.budget.ratio", "$.room.hand_over", "$.room.spill", "$.log_level"} {
		g.Expect(err.Error()).To(gomega.ContainSubstring(path))
	}
}
