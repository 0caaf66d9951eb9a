package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// DayOptions says how a DayReader values answers.
type DayOptions struct {
	Window     time.Duration      // length of the windows of a report; 0 for two seconds
	LateCredit float64            // credit of a late answer, from 0 to 1
	Weights    map[string]float64 // by route: what one of its requests counts; 1 if not named, 0 to leave it out
}

// defaultWindow is the length of a window if DayOptions names none.
const defaultWindow = 2 * time.Second

// Account says what became of a number of requests. The credit of an answer in time is the square
// of the share of shards that it holds; that of a late answer is LateCredit times that; a request
// without an answer earns nothing. Requests that no one is owed an answer to stand apart, in NotOwed
// alone. All but the counts are weighted by route.
type Account struct {
	Name    string             `json:"name"`  // of the window, route, zone, tenant or rank
	Asked   int                `json:"asked"` // without those that are not owed
	InTime  int                `json:"in_time"`
	Late    int                `json:"late"`
	Refused int                `json:"refused"`
	Failed  int                `json:"failed"`
	Owed    float64            `json:"owed"`               // credit if each request were answered in time and whole
	Earned  float64            `json:"earned"`             // credit that was earned
	Lost    map[string]float64 `json:"lost"`               // credit that was lost, by cause
	NotOwed map[string]int     `json:"not_owed,omitempty"` // requests to which no answer was owed, by reason
}

// Share returns a part of the credit, earned or lost, as a share of what was owed, 0 if nothing was.
func (a *Account) Share(credit float64) float64 {
	if a.Owed == 0 {
		return 0
	}
	return credit / a.Owed
}

// Unowed returns the number of requests to which no answer was owed.
func (a *Account) Unowed() int {
	n := 0
	for _, count := range a.NotOwed {
		n += count
	}
	return n
}

// Day says where the credit of all requests in the logs of daemons was lost.
type Day struct {
	Total   Account   `json:"total"`
	Windows []Account `json:"windows"` // by time, without those in which nothing was asked
	Routes  []Account `json:"routes"`  // by name
	Zones   []Account `json:"zones"`   // by name, of the VMs that the requests came to; empty if the logs don't tell
	Tenants []Account `json:"tenants"` // by name; empty if the manifest names no tenants
	Ranks   []Account `json:"ranks"`   // by rank, the most urgent first; empty if the logs don't tell
	Unread  int       `json:"unread"`  // lines that hold no valid JSON object or no valid time, empty lines excepted
}

// DayReader sums up the requests in daemons' logs. Each attempt of a caller is a request of its own,
// since logs don't show which of them belong together. It is not safe for concurrent use.
type DayReader struct {
	options  DayOptions
	requests []dayRequest
	served   map[string]bool // by route: a request was sent to a leaf or to another VM
	unread   int
}

// dayRequest is what the log says of one request.
type dayRequest struct {
	at      time.Time
	route   string
	zone    string
	tenant  string  // empty if there is none
	rank    int     // noRank if the log doesn't tell
	outcome string  // inTime, late, refused, failed or notOwed
	noLeaf  bool    // refused because no leaf of the service was known
	credit  float64 // earned, from 0 to 1
	cause   string  // why credit was lost, or why none was owed; empty if none was lost
}

// The outcomes of a request.
const (
	inTime  = "in time"
	late    = "late"
	refused = "refused"
	failed  = "failed"
	notOwed = "not owed"
)

// Reasons why no answer is owed to a request.
const (
	reasonNoRoute  = "no_route"   // the manifest has no route for it
	reasonKey      = "key"        // its API key is missing or not valid
	reasonLimit    = "limit"      // its tenant has used up its limit
	reasonUnserved = "no_service" // no leaf of the route's service was known, and no request on the route was sent to one
)

// unowed are the statuses of refusals that are the caller's own doing, with the reason.
var unowed = map[int]string{
	http.StatusNotFound:        reasonNoRoute,
	http.StatusUnauthorized:    reasonKey,
	http.StatusTooManyRequests: reasonLimit,
}

// noRank is the rank of a request whose log line has none.
const noRank = -1

// NewDayReader returns a reader without requests.
func NewDayReader(options DayOptions) *DayReader {
	if options.Window <= 0 {
		options.Window = defaultWindow
	}
	return &DayReader{options: options, served: make(map[string]bool)}
}

// Read reads one log. It returns an error if reading fails or a line is longer than maxLineBytes.
func (r *DayReader) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	zones := make(map[string]string) // by the daemon's name in the text before a line, if any
	for scanner.Scan() {
		prefix, line, ok := parseObject(scanner.Text())
		if !ok {
			r.unread++
			continue
		}
		if line == nil {
			continue
		}
		daemon := lastWord(prefix)
		if line[slog.MessageKey] == messageStarted {
			zones[daemon], _ = line["zone"].(string)
		}
		r.add(line, zones[daemon])
	}
	return scanner.Err()
}

// messageStarted is the message of the first line of each daemon.
const messageStarted = "started"

// parseObject splits a log line into the JSON object, nil for an empty line, and the text before it,
// where log collectors may name the machine. It returns false if a line that is not empty holds no
// object.
func parseObject(text string) (prefix string, line map[string]any, ok bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return "", nil, strings.TrimSpace(text) == ""
	}
	err := json.Unmarshal([]byte(text[start:]), &line)
	return text[:start], line, err == nil
}

// lastWord returns the last word of a text, empty if there is none.
func lastWord(text string) string {
	words := strings.Fields(text)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// add adds the request that a line is about, if it is about the end of one.
func (r *DayReader) add(line map[string]any, zone string) {
	req := dayRequest{zone: zone, rank: noRank}
	req.route, _ = line["route"].(string)
	req.tenant, _ = line["tenant"].(string)
	if rank, ok := line["rank"].(float64); ok {
		req.rank = int(rank)
	}
	switch line[slog.MessageKey] {
	case messageRefused:
		status, _ := line["status"].(float64)
		if reason := unowed[int(status)]; reason != "" {
			req.outcome, req.cause = notOwed, reason
			break
		}
		req.outcome, req.cause = refused, fmt.Sprintf("refused: %v", line["why"])
	case messageRequest:
		if line["verdict"] == "abandoned" {
			return // nothing is owed to a caller that has left
		}
		r.judge(&req, line)
	default:
		return
	}
	if r.weight(req.route) == 0 {
		return
	}
	stamp, _ := line[slog.TimeKey].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		r.unread++
		return
	}
	req.at = at
	r.requests = append(r.requests, req)
}

// judge sets what became of a request by its line.
func (r *DayReader) judge(req *dayRequest, line map[string]any) {
	number := func(name string) float64 {
		n, _ := line[name].(float64)
		return n
	}
	cause := mainGap(fmt.Sprint(line["gaps"]))
	verdict := fmt.Sprint(line["verdict"])
	if verdict == "answered" || number("sent") > 0 || number("calls") > 0 {
		r.served[req.route] = true
	}
	switch {
	case verdict == "not_run":
		req.outcome, req.cause, req.noLeaf = refused, join("refused", cause), cause == gapNoLeaf
	case verdict != "answered":
		req.outcome, req.cause = failed, join(verdict, cause)
	default:
		share := 1.0
		if shards := number("shards"); shards > 0 {
			share = 1 - number("missing")/shards
		}
		req.outcome, req.credit = inTime, share*share
		if share < 1 {
			req.cause = join("left out", cause)
		}
		if number("late_ms") > 0 {
			req.outcome, req.credit, req.cause = late, req.credit*r.options.LateCredit, join("late", cause)
		}
	}
}

// gapNoLeaf is the word that logs use for a shard of which no leaf is known.
const gapNoLeaf = "no_leaf"

// join returns what became of a request and the cause of most of its gaps, if any is known.
func join(outcome, cause string) string {
	if cause == "" {
		return outcome
	}
	return outcome + ": " + cause
}

// mainGap returns the cause of most gaps in the field gaps of a line, empty if it names none.
func mainGap(gaps string) string {
	most, cause := 0, ""
	for part := range strings.SplitSeq(gaps, "; ") {
		var name string
		var n int
		if _, err := fmt.Sscanf(part, "%s %d:", &name, &n); err == nil && n > most {
			most, cause = n, name
		}
	}
	return cause
}

// Day returns the account of the requests read so far.
func (r *DayReader) Day() Day {
	slices.SortStableFunc(r.requests, func(a, b dayRequest) int { return a.at.Compare(b.at) })
	day := Day{Unread: r.unread, Total: newAccount("all")}
	if len(r.requests) == 0 {
		return day
	}
	first := r.requests[0].at
	windows, routes, zones := map[int]*Account{}, map[string]*Account{}, map[string]*Account{}
	tenants, ranks := map[string]*Account{}, map[int]*Account{}
	for _, req := range r.requests {
		if req.noLeaf && !r.served[req.route] {
			req.outcome, req.cause = notOwed, reasonUnserved
		}
		n := int(req.at.Sub(first) / r.options.Window)
		accounts := []*Account{
			&day.Total,
			accountOf(windows, n, (time.Duration(n) * r.options.Window).String()),
			accountOf(routes, req.route, req.route),
		}
		if req.zone != "" {
			accounts = append(accounts, accountOf(zones, req.zone, req.zone))
		}
		if req.tenant != "" {
			accounts = append(accounts, accountOf(tenants, req.tenant, req.tenant))
		}
		if req.rank != noRank {
			accounts = append(accounts, accountOf(ranks, req.rank, fmt.Sprintf("rank %d", req.rank)))
		}
		for _, a := range accounts {
			a.add(req, r.weight(req.route))
		}
	}
	day.Windows, day.Routes, day.Zones = sortedAccounts(windows), sortedAccounts(routes), sortedAccounts(zones)
	day.Tenants, day.Ranks = sortedAccounts(tenants), sortedAccounts(ranks)
	return day
}

// weight returns what one request of a route counts.
func (r *DayReader) weight(route string) float64 {
	if w, ok := r.options.Weights[route]; ok {
		return w
	}
	return 1
}

// newAccount returns an account without requests.
func newAccount(name string) Account {
	return Account{Name: name, Lost: make(map[string]float64), NotOwed: make(map[string]int)}
}

// accountOf returns the account with a key, and adds one if there is none.
func accountOf[K comparable](accounts map[K]*Account, key K, name string) *Account {
	if accounts[key] == nil {
		a := newAccount(name)
		accounts[key] = &a
	}
	return accounts[key]
}

// sortedAccounts returns accounts by key.
func sortedAccounts[K cmp.Ordered](accounts map[K]*Account) []Account {
	var list []Account
	for _, key := range slices.Sorted(maps.Keys(accounts)) {
		list = append(list, *accounts[key])
	}
	return list
}

// add adds a request.
func (a *Account) add(req dayRequest, weight float64) {
	if req.outcome == notOwed {
		a.NotOwed[req.cause]++
		return
	}
	a.Asked++
	switch req.outcome {
	case inTime:
		a.InTime++
	case late:
		a.Late++
	case refused:
		a.Refused++
	default:
		a.Failed++
	}
	a.Owed += weight
	a.Earned += weight * req.credit
	if req.cause != "" {
		a.Lost[req.cause] += weight * (1 - req.credit)
	}
}
