package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// FuzzRequest: whatever a caller sends, the answer is whole, its code is one of the
// table's, and its status and headers fit the code. What gets through to the engine
// or to a target is within the bundle's bounds.
func FuzzRequest(f *testing.F) {
	const keyed, unkeyed = validKey, ""
	f.Add("search/find", `{"query":"x","limit":3,"time_limit_ms":50,"coverage":0.7,"explain":true}`, unkeyed)
	f.Add("search/find", `{"query":"x","limit":3000000000,"coverage":1e300}`, unkeyed)
	f.Add("browse/list", `{"query":"","cursor":"`+cursor{Search: "list", Snapshot: "v1", After: "k"}.encode()+`"}`, unkeyed)
	f.Add("browse/list", `{"query":"","cursor":"bnVsbA"}`, unkeyed)
	f.Add("submit/file", `{"volume":3}`, keyed)
	f.Add("submit/file", `{"volume":3`, "1-x")
	f.Add("search/find/../list", ``, keyed)
	f.Fuzz(func(t *testing.T, path, body, key string) {
		req, err := http.NewRequest(http.MethodPost, "/v1/"+path, strings.NewReader(body))
		if err != nil {
			return
		}
		req.Header.Set(HeaderKey, key)
		fake := newFake()
		res := httptest.NewRecorder()
		New(Options{Config: fake, Engine: fake, Claims: fake}).Handler().ServeHTTP(res, req)

		g := NewWithT(t)
		var a Answer
		g.Expect(json.Unmarshal(res.Body.Bytes(), &a)).To(Succeed())
		info := result.Code(a.Code).Info()
		g.Expect(info.Name).To(And(Equal(a.Name), Not(Equal("Unlisted"))))
		g.Expect(res.Code).To(Equal(info.HTTP))
		g.Expect(res.Header().Get(HeaderRequest)).NotTo(BeEmpty())
		if asked := fake.lastSearch; asked != nil {
			g.Expect(asked.MaxItems).To(And(BeNumerically(">=", 1), BeNumerically("<=", asked.Search.MaxItems)))
			g.Expect(asked.MinCoverage).To(And(BeNumerically(">=", asked.Search.Coverage.Min), BeNumerically("<=", 1)))
			g.Expect(asked.TimeLimit.Milliseconds()).To(And(BeNumerically(">=", asked.Search.TimeLimit.MinMS), BeNumerically("<=", asked.Search.TimeLimit.MaxMS)))
		}
		if fake.submissions > 0 {
			g.Expect(json.Valid([]byte(body))).To(BeTrue())
		}
	})
}
