package gateway

import (
	"strings"
	"time"

	"goji.io/pat"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/internal/strictjson"
	"github.com/bramleybarrow/bramleybarrow/query"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// search serves a search or a browse page.
func (g *Gateway) search(req *request) *Answer {
	q, body, err := req.parseSearch()
	if err != nil {
		return errorAnswer(err)
	}
	out := g.opts.Engine.Search(req.http.Context(), q)
	a := newAnswer(out.Code)
	a.Detail = out.Detail
	a.Ran = out.Ran.String()
	a.Snapshot = out.Snapshot.Name
	a.Items = out.Items
	a.More = out.More
	a.Attempts = out.Sent
	a.RetryAfterMS = ceilMillis(out.RetryAfter)
	if out.Coverage.Shards > 0 {
		a.Coverage = newCoverage(&out.Coverage, body.Explain)
	}
	a.Cursor = nextCursor(q, out)
	return a
}

// nextCursor returns the cursor of the next browse page, or "" if there is none.
func nextCursor(q *query.Request, out *query.Answer) string {
	if q.Search.Kind != bundle.KindBrowse || !out.More || len(out.Items) == 0 {
		return ""
	}
	last := out.Items[len(out.Items)-1]
	return cursor{Search: q.Search.Name, Snapshot: out.Snapshot.Name, After: last.Key}.encode()
}

// findSearch returns the search that the path names. The kind in the path must be the
// search's kind.
func (req *request) findSearch() (*bundle.Search, error) {
	name := pat.Param(req.http, "search")
	s, ok := req.inForce.Bundle.Search(name)
	if !ok || !strings.HasPrefix(req.http.URL.Path, "/v1/"+string(s.Kind)+"/") {
		return nil, result.Errorf(result.UnknownSearch, "search %q", name)
	}
	return s, nil
}

// parseSearch returns the query that the request states, with the bundle's defaults applied,
// and the decoded body.
func (req *request) parseSearch() (*query.Request, *SearchBody, error) {
	s, err := req.findSearch()
	if err != nil {
		return nil, nil, err
	}
	var body SearchBody
	if err := decodeStrict(req.body, &body); err != nil {
		return nil, nil, err
	}
	q := &query.Request{
		ID:      req.id,
		Search:  s,
		Arrived: req.arrived,
		Query:   body.Query,
	}
	if err := applyBounds(q, &body); err != nil {
		return nil, nil, err
	}
	return q, &body, applyCursor(q, body.Cursor)
}

// decodeStrict decodes a JSON body. Unknown, repeated or missing fields are errors.
func decodeStrict(data []byte, into any) error {
	findings := strictjson.Decode(data, into)
	if len(findings) == 0 {
		return nil
	}
	return result.Errorf(result.BadRequest, "%s", findings[0])
}

// applyBounds sets the time limit, coverage and number of items that the caller asks
// for, or the bundle's defaults. Values that the bundle does not allow are errors.
func applyBounds(q *query.Request, body *SearchBody) error {
	s := q.Search
	limit, err := timeLimit(s, body.TimeLimitMS)
	if err != nil {
		return err
	}
	q.TimeLimit = limit
	q.MinCoverage = body.Coverage
	if q.MinCoverage == 0 {
		q.MinCoverage = s.Coverage.Default
	}
	if q.MinCoverage < s.Coverage.Min || q.MinCoverage > 1 {
		return result.Errorf(result.BadCoverage, "coverage: found %g, allowed is %g to 1", q.MinCoverage, s.Coverage.Min)
	}
	q.MaxItems = body.Limit
	if q.MaxItems == 0 {
		q.MaxItems = s.MaxItems
	}
	if q.MaxItems < 1 || q.MaxItems > s.MaxItems {
		return result.Errorf(result.BadRequest, "limit: found %d, allowed is 1 to %d", body.Limit, s.MaxItems)
	}
	return nil
}

// timeLimit returns the caller's time limit of ms milliseconds, or the search's default if
// ms is 0. A limit that the search does not allow is an error.
func timeLimit(s *bundle.Search, ms int) (time.Duration, error) {
	if ms == 0 {
		ms = s.TimeLimit.DefaultMS
	}
	if ms < s.TimeLimit.MinMS || ms > s.TimeLimit.MaxMS {
		return 0, result.Errorf(result.BadTimeLimit, "time limit: found %d ms, allowed is %d to %d ms",
			ms, s.TimeLimit.MinMS, s.TimeLimit.MaxMS)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// applyCursor sets the snapshot of a browse page, and the key after which the page begins, to
// those in the caller's cursor. Without a cursor it does nothing. A cursor of another search,
// or in a request that isn't a browse request, is an error.
func applyCursor(q *query.Request, encoded string) error {
	if encoded == "" {
		return nil
	}
	if q.Search.Kind != bundle.KindBrowse {
		return result.Errorf(result.BadRequest, "cursor: allowed only in browse requests")
	}
	c, err := decodeCursor(encoded, q.Search.Name)
	if err != nil {
		return err
	}
	q.Snapshot = c.Snapshot
	q.After = c.After
	return nil
}
