package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// sample is the struct that the tests decode into. It has a field of each kind that a
// document may have.
type sample struct {
	Name  string    `json:"name"`
	Count int32     `json:"count,omitempty"`
	Size  uint16    `json:"size,omitempty"`
	Share float64   `json:"share,omitempty"`
	On    bool      `json:"on,omitempty"`
	Parts []part    `json:"parts,omitempty"`
	Tags  []string  `json:"tags,omitempty"`
	Grid  [][]int64 `json:"grid,omitempty"`
}

// part is an item of sample.Parts. Its only field is required.
type part struct {
	Key string `json:"key"`
}

// FuzzDecode checks that Decode never panics, and that it decodes any document it
// accepts to the same values as encoding/json: it is stricter, never different.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{
		`{"name":"a","count":-3,"size":7,"share":1e-3,"on":true,"parts":[{"key":"k"}],"tags":["x"],"grid":[[1],[]]}`,
		`{"name":"a","name":"b"}`, `{"Name":"a"}`, `{"name":"\ud800","share":1e999}`, `{"name":"a","count":1.0}`,
		`{"name":null}`, `{"name":"a","size":-1}`, `{"name":"a"} {}`, strings.Repeat("[", 2*MaxDepth), ``, `{"name":"a",}`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var strict, lax sample
		findings := Decode(data, &strict)
		if len(findings) > 0 {
			for _, finding := range findings {
				if finding.Path == "" || finding.Found == "" || finding.Allowed == "" {
					t.Fatalf("finding with an empty field: %#v", finding)
				}
			}
			return
		}
		g := NewWithT(t)
		dec := json.NewDecoder(bytes.NewReader(data))
		dec.DisallowUnknownFields()
		g.Expect(dec.Decode(&lax)).To(Succeed())
		g.Expect(strict).To(Equal(lax))
	})
}

// Guards against a report of every error in a large file that is passed by mistake.
// With a finding for each item of a 1 MB list of empty objects, the command that checks
// a bundle took minutes and gigabytes of memory.
func TestFindingsAreBounded(t *testing.T) {
	g := NewWithT(t)
	const parts = 10 * MaxFindings
	text := `{"name":"a","parts":[{}` + strings.Repeat(",{}", parts-1) + `]}`
	findings := Decode([]byte(text), &sample{})
	g.Expect(findings).To(HaveLen(MaxFindings + 1))
	g.Expect(findings[0].Path).To(Equal("$.parts[0].key"))
	g.Expect(findings[MaxFindings]).To(Equal(Finding{Path: "$", Found: fmt.Sprintf("%d findings more", parts-MaxFindings), Allowed: "none"}))
}
