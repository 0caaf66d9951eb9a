// Package explain finds out from the logs of daemons how one request ended and why.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"
)

// Line is a line of a daemon's log that has the id of the request to explain.
type Line struct {
	At      time.Time      `json:"at"`      // zero if the line has no valid time
	Source  string         `json:"source"`  // name of the log file, or stdin
	Message string         `json:"message"` // empty if the line has none
	Fields  map[string]any `json:"fields"`  // the line's other fields, except level and the request's id
}

// Report says how a request ended and why, and contains the log lines about it.
type Report struct {
	Request string `json:"request"` // id of the request
	Cause   string `json:"cause"`   // one sentence: how the request ended and why
	Lines   []Line `json:"lines"`   // sorted by time
	// Unread counts lines that hold no valid JSON object, empty lines excepted.
	Unread int `json:"unread"`
}

// The messages of the log lines about a request.
const (
	messageRequest = "request"             // a request ended
	messageRefused = "request refused"     // a request was answered without being sent to a leaf
	messageAttempt = "attempt failed"      // an attempt to run a request at a leaf failed
	messageCall    = "call to a VM failed" // a call that delegated shards to another VM failed
	messageGather  = "gathered for a VM"   // a call that delegated shards to this VM ended
)

// maxLineBytes is the longest log line, in bytes, that Reader.Read accepts.
const maxLineBytes = 1 << 20

// Reader collects the log lines of one request. It is not safe for concurrent use.
type Reader struct {
	report Report
}

// NewReader returns a reader for the request with this id.
func NewReader(request string) *Reader { return &Reader{report: Report{Request: request}} }

// Read reads one log; source is its name for Line.Source. Read ignores the text before the
// first brace of a line, since log collectors may add the time or the machine there. It
// returns an error if reading fails or a line is longer than maxLineBytes.
func (r *Reader) Read(source string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		r.parseLine(source, scanner.Text())
	}
	return scanner.Err()
}

// parseLine adds a line of the log source to the report if it has the request's id, and
// counts it in Report.Unread if it can't be parsed.
func (r *Reader) parseLine(source, text string) {
	_, fields, ok := parseObject(text)
	if !ok {
		r.report.Unread++
		return
	}
	if fields == nil {
		return
	}
	if fields["request"] != r.report.Request {
		return
	}
	line := Line{Source: source, Fields: fields}
	line.Message, _ = fields[slog.MessageKey].(string)
	stamp, _ := fields[slog.TimeKey].(string)
	// A line without a valid time keeps the zero time and sorts first.
	line.At, _ = time.Parse(time.RFC3339Nano, stamp)
	for _, name := range []string{slog.MessageKey, slog.TimeKey, slog.LevelKey, "request"} {
		delete(fields, name)
	}
	r.report.Lines = append(r.report.Lines, line)
}

// Report returns the report on the logs read so far.
func (r *Reader) Report() Report {
	slices.SortStableFunc(r.report.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	r.report.Cause = r.cause()
	return r.report
}

// cause returns a sentence that says how the request ended and why.
func (r *Reader) cause() string {
	for i := len(r.report.Lines) - 1; i >= 0; i-- {
		line := &r.report.Lines[i]
		switch line.Message {
		case messageRefused:
			return fmt.Sprintf("It was answered with status %v and sent to no leaf: %v.", line.Fields["status"], line.Fields["why"]) + limitCause(line)
		case messageRequest:
			return r.requestCause(line)
		}
	}
	if len(r.report.Lines) > 0 {
		return "No daemon logged how it ended: the one that received it was killed, or its line was dropped."
	}
	return "No line speaks of it."
}

// limitCause returns a sentence that says by which tenant's limit a request was refused, and on whose
// knowledge. It returns "" if the line speaks of no limit.
func limitCause(line *Line) string {
	if _, limited := line.Fields["rate_per_s"]; !limited {
		return ""
	}
	text := fmt.Sprintf(" The limit of tenant %v (rank %v) is %v requests per second and a burst of %v", line.Fields["tenant"], line.Fields["rank"], line.Fields["rate_per_s"], line.Fields["burst"])
	accountant, _ := line.Fields["accountant"].(string)
	age, known := line.Fields["age_ms"]
	switch {
	case accountant == "":
		text += "; the VM had no accountant"
	case !known:
		text += fmt.Sprintf("; accountant %v had not answered yet", accountant)
	default:
		text += fmt.Sprintf("; the decision rests on what accountant %v said %v ms before", accountant, age)
	}
	if stale, _ := line.Fields["stale"].(bool); stale {
		text += "; its latency objective was over, so that others came before it"
	}
	return text + "."
}

// verdictTexts maps the verdict of a request, a field of its log line, to a clause that says
// what it means.
var verdictTexts = map[string]string{
	"answered":    "It was answered",
	"leaf_failed": "A leaf ran it and failed",
	"not_run":     "No leaf ran it: it was refused, or all leafs were full, unavailable or unreachable",
	"unknown":     "A leaf may have run it, but gave no answer that proves it",
	"timed_out":   "Its deadline passed before a leaf answered",
	"abandoned":   "Its caller cancelled it or disconnected",
	"short":       "Too few shards could be had for an answer",
}

// requestCause returns a sentence that says how the request ended and why. Line reports the
// end of the request; the reasons come from all lines of the report.
func (r *Reader) requestCause(line *Line) string {
	text := verdictTexts[fmt.Sprint(line.Fields["verdict"])]
	if missing, _ := line.Fields["missing"].(float64); missing > 0 {
		text += fmt.Sprintf(", without %v shards", missing)
	}
	text += fmt.Sprintf(" after %v ms", line.Fields["ms"])
	if servedTo, ok := line.Fields["served_to"]; ok {
		text += fmt.Sprintf("; room was short, and %v of the demand came before it, where up to %v is served", line.Fields["position"], servedTo)
	} else if wait, ok := line.Fields["wait_ms"]; ok {
		text += fmt.Sprintf("; a shard that it needed was expected to wait %v ms, %v at most were allowed", wait, line.Fields["wait_limit_ms"])
		if own, _ := line.Fields["own_ms"].(float64); own > 0 {
			text += fmt.Sprintf("; the VM itself was expected to take %v ms, which left no time for a leaf", own)
		}
	}
	if gaps := r.gapSummary(); gaps != "" {
		text += "; " + gaps
	}
	if why := r.failureSummary(); why != "" {
		text += "; " + why
	}
	return text + "."
}

// gapTexts maps the cause of a gap, as log lines name it, to its meaning. A gap is a shard
// without an answer.
var gapTexts = map[string]string{
	"slow":        "asked, and not answered in time",
	"room":        "not asked, since leafs were full or in cooldown after failures",
	"budget":      "not asked again, since the budget for that was spent",
	"late":        "not asked again, since an attempt failed too late for another",
	"attempts":    "asked as often as allowed, without an answer",
	"no_leaf":     "without a leaf that accepts requests",
	"evacuated":   "not asked, since all of their leafs are in evacuated zones",
	"quarantined": "not asked, or not asked again, since the request ended leafs or may have",
	"forecast":    "not asked, since no leaf was expected to answer in time",
	"call":        "without an answer at the VM that was called",
	"silent":      "delegated to a VM that had not answered",
	"declined":    "left to the calling VM",
}

// gapSummary says why shards were missing at the VM that received the request, and at the
// VMs to which it delegated shards. It returns "" if no line reports a gap.
func (r *Reader) gapSummary() string {
	var parts []string
	for i := range r.report.Lines {
		line := &r.report.Lines[i]
		text, _ := line.Fields["gaps"].(string)
		if text == "" {
			continue
		}
		where := "shards missing"
		switch shards, stated := line.Fields["shards"].(float64); {
		case line.Message == messageGather:
			where = "at a VM that was called"
		case stated && shards == 0: // a request to a single service
			where = "no answer of the service"
		}
		parts = append(parts, where+": "+describeGaps(text))
	}
	return strings.Join(parts, "; ")
}

// describeGaps turns the field gaps of a log line into a phrase. The field, such as
// "slow 2: a b; budget 1: c", holds the cause, the number and the names of missing shards.
func describeGaps(text string) string {
	var parts []string
	for part := range strings.SplitSeq(text, "; ") {
		causeAndCount, names, _ := strings.Cut(part, ": ")
		cause, count, _ := strings.Cut(causeAndCount, " ")
		meaning, known := gapTexts[cause]
		if !known {
			meaning = cause
		}
		parts = append(parts, fmt.Sprintf("%s %s (%s)", count, meaning, names))
	}
	return strings.Join(parts, ", ")
}

// failureSummary counts the failed attempts by how they ended, and the failed calls by VM.
// It returns "" if there are none.
func (r *Reader) failureSummary() string {
	counts := make(map[string]int)
	for _, line := range r.report.Lines {
		switch line.Message {
		case messageAttempt:
			counts[fmt.Sprintf("attempts at leafs ended %v", line.Fields["end"])]++
		case messageCall:
			counts[fmt.Sprintf("calls to VM %v failed", line.Fields["vm"])]++
		}
	}
	parts := make([]string, 0, len(counts))
	for kind, n := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", n, kind))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
