package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/once"
	"github.com/bramleybarrow/bramleybarrow/policy"
	"github.com/bramleybarrow/bramleybarrow/query"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/rollout"
	"github.com/bramleybarrow/bramleybarrow/target"
)

// fake stands in for the bundle in force, the engine and the claims of idempotency keys: it
// implements Config, Engine and Claims with fixed results.
type fake struct {
	inForce     *rollout.InForce // returned by Current
	answer      query.Answer     // returned by Search
	lastSearch  *query.Request   // argument of the last call of Search
	refusal     *query.Answer    // returned by Admit; nil if it admits
	submissions int              // calls of Submit
}

// Current always returns f.inForce.
func (f *fake) Current() *rollout.InForce { return f.inForce }

// Search records the request and always returns f.answer.
func (f *fake) Search(_ context.Context, req *query.Request) *query.Answer {
	f.lastSearch = req
	return &f.answer
}

// Admit refuses the request with f.refusal, and admits it if f.refusal is nil.
func (f *fake) Admit(context.Context, string, time.Time) (func(), *query.Answer) {
	return func() {}, f.refusal
}

// Submit counts the call and always reports that a target ran the request.
func (f *fake) Submit(context.Context, *query.Submission) query.SubmitResult {
	f.submissions++
	return query.SubmitResult{Code: result.Accepted, Result: json.RawMessage(`{"filed":1}`)}
}

// Run always calls run, without a claim of the key.
func (f *fake) Run(ctx context.Context, _ once.Request, run func(context.Context) once.Outcome) once.Outcome {
	return run(ctx)
}

// newFake returns a fake whose bundle has one search of each kind, and which admits and answers
// all requests.
func newFake() *fake {
	search := func(name string, kind bundle.SearchKind) bundle.Search {
		return bundle.Search{
			Name: name, Kind: kind, Service: "s", MaxItems: 10,
			Coverage:  bundle.Coverage{Default: 1, Min: 0.5},
			TimeLimit: bundle.TimeLimit{DefaultMS: 100, MinMS: 10, MaxMS: 1000},
		}
	}
	return &fake{
		inForce: &rollout.InForce{Revision: 7, Bundle: &bundle.Bundle{Searches: []bundle.Search{
			search("find", bundle.KindSearch), search("list", bundle.KindBrowse), search("file", bundle.KindSubmit),
		}}},
		answer: query.Answer{
			Code: result.Complete, Ran: result.RanYes, More: true,
			Snapshot: policy.Snapshot{Name: "v1", Shards: 2},
			Coverage: policy.Coverage{Shards: 2, Answered: 2},
			Items:    []target.Item{{Key: "a"}, {Key: "b"}},
		},
	}
}

// post sends one request to a gateway that uses f, and returns the decoded answer and the
// response. header lists names of headers, each followed by its value.
func (f *fake) post(t *testing.T, path, body string, header ...string) (Answer, *http.Response) {
	t.Helper()
	g := NewWithT(t)
	server := httptest.NewServer(New(Options{Config: f, Engine: f, Claims: f}).Handler())
	defer server.Close()
	req, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	g.Expect(err).NotTo(HaveOccurred())
	var a Answer
	g.Expect(json.Unmarshal(data, &a)).To(Succeed(), string(data))
	return a, res
}

// validKey is an idempotency key in the form that callers must use.
const validKey = "1700000000-abcdefgh"

// Guards against invalid requests that reach the engine, or that are refused with the wrong
// code.
func TestInvalidRequestCodes(t *testing.T) {
	cases := []struct {
		path, body string
		header     []string
		code       result.Code
	}{
		{"/v1/search/find", `{"query":"x","Limit":1}`, nil, result.BadRequest},
		{"/v1/search/find", `{"query":"x","query":"y"}`, nil, result.BadRequest},
		{"/v1/search/find", `{}`, nil, result.BadRequest},
		{"/v1/search/find", `{"query":"x"} {}`, nil, result.BadRequest},
		{"/v1/search/find", strings.Repeat("[", 100), nil, result.BadRequest},
		{"/v1/search/find", `{"query":"x","limit":11}`, nil, result.BadRequest},
		{"/v1/search/find", `{"query":"x","limit":-1}`, nil, result.BadRequest},
		{"/v1/search/find", `{"query":"x","cursor":"abc"}`, nil, result.BadRequest},
		{"/v1/browse/list", `{"query":"x","cursor":"!!"}`, nil, result.BadRequest},
		{"/v1/search/find", `{"query":"x","time_limit_ms":5}`, nil, result.BadTimeLimit},
		{"/v1/search/find", `{"query":"x","coverage":0.2}`, nil, result.BadCoverage},
		{"/v1/search/find", `{"query":"x","coverage":1.2}`, nil, result.BadCoverage},
		{"/v1/search/find", `{"query":"` + strings.Repeat("x", MaxBodyBytes) + `"}`, nil, result.TooLarge},
		{"/v1/search/none", `{"query":"x"}`, nil, result.UnknownSearch},
		{"/v1/browse/find", `{"query":"x"}`, nil, result.UnknownSearch},
		{"/elsewhere", `{}`, nil, result.UnknownSearch},
		{"/v1/submit/file", `{}`, nil, result.KeyRequired},
		{"/v1/submit/file", `{}`, []string{HeaderKey, "short"}, result.KeyRequired},
		{"/v1/submit/file", `{`, []string{HeaderKey, validKey}, result.BadRequest},
		{"/v1/submit/file", `{}`, []string{HeaderKey, validKey, HeaderTimeLimit, "soon"}, result.BadRequest},
	}
	for _, c := range cases {
		f := newFake()
		a, res := f.post(t, c.path, c.body, c.header...)
		g := NewWithT(t)
		g.Expect(a.Code).To(Equal(int(c.code)), "%s %.60s: %s", c.path, c.body, a.Detail)
		g.Expect(res.StatusCode).To(Equal(c.code.Info().HTTP))
		g.Expect(a.Ran).To(Equal("not run"))
		g.Expect(f.lastSearch).To(BeNil())
		g.Expect(f.submissions).To(BeZero())
	}
}

// Guards against answers that do not name the revision, snapshot and coverage that they
// are based on, and against a next page from another snapshot.
func TestAnswerNamesRevisionSnapshotAndCoverage(t *testing.T) {
	g := NewWithT(t)
	f := newFake()
	a, _ := f.post(t, "/v1/browse/list", `{"query":"x","limit":2}`)
	g.Expect(a.Revision).To(Equal(uint64(7)))
	g.Expect(a.Snapshot).To(Equal("v1"))
	g.Expect(a.Coverage.Ratio).To(Equal(1.0))
	g.Expect(f.lastSearch.TimeLimit).To(Equal(100 * time.Millisecond))
	next, _ := f.post(t, "/v1/browse/list", `{"query":"x","limit":2,"cursor":"`+a.Cursor+`"}`)
	g.Expect(next.Code).To(Equal(100))
	g.Expect(f.lastSearch.Snapshot).To(Equal("v1"))
	g.Expect(f.lastSearch.After).To(Equal("b"))
}

// Guards against refusals that don't state when to retry: callers would retry immediately
// and increase the overload.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	g := NewWithT(t)
	f := newFake()
	f.refusal = &query.Answer{Code: result.Overloaded, Ran: result.RanNo, RetryAfter: 1200 * time.Millisecond}
	a, res := f.post(t, "/v1/submit/file", `{}`, HeaderKey, validKey)
	g.Expect(a.RetryAfterMS).To(Equal(int64(1200)))
	g.Expect(res.Header.Get(HeaderRetryAfter)).To(Equal("2"))
	g.Expect(f.submissions).To(BeZero())
	f.inForce = nil
	a, res = f.post(t, "/v1/search/find", `{"query":"x"}`)
	g.Expect(a.Code).To(Equal(int(result.NoBundle)))
	g.Expect(res.Header.Get(HeaderRetryAfter)).NotTo(BeEmpty())
}

// FuzzCursor decodes arbitrary strings. Each must be refused with BadRequest, or give a
// cursor of the right search with a snapshot. The empty string stands for no cursor.
func FuzzCursor(f *testing.F) {
	f.Add(cursor{Search: "list", Snapshot: "v1", After: "b"}.encode())
	f.Add("")
	f.Add("eyJzZWFyY2giOiJ4In0")
	f.Fuzz(func(t *testing.T, s string) {
		c, err := decodeCursor(s, "list")
		if err != nil && result.CodeOf(err) != result.BadRequest {
			t.Fatalf("code %v", result.CodeOf(err))
		}
		if err == nil && s != "" && (c.Search != "list" || c.Snapshot == "") {
			t.Fatalf("accepted %+v", c)
		}
	})
}
