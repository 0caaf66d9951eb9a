package logging

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"

	"github.com/onsi/gomega"
)

// countingValuer is a logged value that counts in calls how often it is formatted.
type countingValuer struct{ calls *int }

// LogValue implements slog.LogValuer. It counts the call and returns a fixed value.
func (c countingValuer) LogValue() slog.Value {
	*c.calls++
	return slog.StringValue("costly")
}

// Guards against the cost of dropped lines. When hundreds of leafs fail, each failure logs
// a line. A VM with a fifth of a core spent its time on formatting lines that were then
// dropped, and its answers were late.
func TestDroppedLinesAreNotFormatted(t *testing.T) {
	g := gomega.NewWithT(t)
	formatted := 0
	log, flush := New(&bytes.Buffer{}, Options{JSON: true})
	const lines = 100 * burstLines
	for range lines {
		log.Info("a line", "value", countingValuer{&formatted})
	}
	flush()
	g.Expect(formatted).To(gomega.BeNumerically("<", lines/2))
}

// Guards against a rate limit for each component or group of a logger: the daemon as a whole
// would then exceed the limit many times over.
func TestComponentsShareRateLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log, flush := New(&out, Options{JSON: true})
	parts := []*slog.Logger{Component(log, "a"), Component(log, "b"), log.WithGroup("g")}
	for range burstLines {
		for _, part := range parts {
			part.Info("a line")
		}
	}
	flush()
	g.Expect(bytes.Count(out.Bytes(), []byte("a line"))).To(gomega.BeNumerically("<", 2*burstLines))
	g.Expect(out.String()).To(gomega.ContainSubstring("log lines dropped"))
}

// Guards against log lines below the level of the settings, those of libraries included,
// and against lines without the name of their component.
func TestJSONLinesRespectLevel(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	level, err := ParseLevel("warn")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	log, flush := New(&out, Options{Level: level, JSON: true})
	log.Info("left out")
	Component(log, "vms").Warn("written", "count", 3)
	StdLogger(log).Println("a library's remark")
	flush()
	var line map[string]any
	g.Expect(json.Unmarshal(out.Bytes(), &line)).To(gomega.Succeed())
	g.Expect(line).To(gomega.HaveKeyWithValue(slog.MessageKey, "written"))
	g.Expect(line).To(gomega.HaveKeyWithValue("part", "vms"))
	g.Expect(line).To(gomega.HaveKeyWithValue("count", 3.0))
}

// Guards against settings with a level that Levels does not list. The parser of package slog
// would accept "INFO" and "warn+2".
func TestParseLevelRejectsUnknownNames(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, name := range []string{"", "trace", "INFO", "warn+2"} {
		_, err := ParseLevel(name)
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(Levels)), name)
	}
}
