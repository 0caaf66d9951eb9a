// Package explain tells from the logs of daemons what became of one request.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"
)

// Line is a line of a daemon's log that speaks of the request.
type Line struct {
	At      time.Time      `json:"at"`
	Source  string         `json:"source"` // the file
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Report is what is known of a request.
type Report struct {
	Request string `json:"request"`
	Cause   string `json:"cause"` // one sentence
	Lines   []Line `json:"lines"` // in order of time
	// Unread counts lines that are no JSON object.
	Unread int `json:"unread"`
}

// The messages that daemons write of a request.
const (
	messageRequest = "request"
	messageRefused = "request refused"
	messageAttempt = "attempt failed"
	messageCall    = "call to a VM failed"
	messageGather  = "gathered for a VM"
)

// maxLineBytes is the longest line that is read, in bytes.
const maxLineBytes = 1 << 20

// Reader collects the lines of one request.
type Reader struct {
	report Report
}

// NewReader returns a reader for a request's id.
func NewReader(request string) *Reader { return &Reader{report: Report{Request: request}} }

// Read takes one log. What stands before the first brace of a line is passed over, as
// collectors of logs put the time or the machine there.
func (r *Reader) Read(source string, log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		r.parseLine(source, scanner.Text())
	}
	return scanner.Err()
}

func (r *Reader) parseLine(source, text string) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		if strings.TrimSpace(text) != "" {
			r.report.Unread++
		}
		return
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		r.report.Unread++
		return
	}
	if fields["request"] != r.report.Request {
		return
	}
	line := Line{Source: source, Fields: fields}
	line.Message, _ = fields[slog.MessageKey].(string)
	stamp, _ := fields[slog.TimeKey].(string)
	// A line without a time stands first.
	line.At, _ = time.Parse(time.RFC3339Nano, stamp)
	for _, name := range []string{slog.MessageKey, slog.TimeKey, slog.LevelKey, "request"} {
		delete(fields, name)
	}
	r.report.Lines = append(r.report.Lines, line)
}

// Report returns what the logs tell.
func (r *Reader) Report() Report {
	slices.SortStableFunc(r.report.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	r.report.Cause = r.cause()
	return r.report
}

// cause says in one sentence why the request ended as it did.
func (r *Reader) cause() string {
	for i := len(r.report.Lines) - 1; i >= 0; i-- {
		line := &r.report.Lines[i]
		switch line.Message {
		case messageRefused:
			return fmt.Sprintf("It was answered %v without being handed to any leaf: %v.", line.Fields["status"], line.Fields["why"])
		case messageRequest:
			return r.requestCause(line)
		}
	}
	if len(r.report.Lines) > 0 {
		return "No daemon wrote how it ended: the one that took it was killed, or its line was dropped."
	}
	return "No line speaks of it."
}

// verdictTexts says what each verdict of a request means.
var verdictTexts = map[string]string{
	"answered":    "It was answered",
	"leaf_failed": "A leaf ran it and failed",
	"not_run":     "No leaf ran it: it was refused, or all leafs were full, away or out of reach",
	"unknown":     "A leaf may have run it, but gave no answer that proves it",
	"timed_out":   "Its time was over before a leaf had answered",
	"abandoned":   "Its caller left",
	"short":       "Too few shards could be had for an answer",
}

func (r *Reader) requestCause(line *Line) string {
	text := verdictTexts[fmt.Sprint(line.Fields["verdict"])]
	if missing, _ := line.Fields["missing"].(float64); missing > 0 {
		text += fmt.Sprintf(", without %v shards", missing)
	}
	text += fmt.Sprintf(" after %v ms", line.Fields["ms"])
	if wait, ok := line.Fields["wait_ms"]; ok {
		text += fmt.Sprintf("; a shard that it needed was expected to wait %v ms, %v at most were allowed", wait, line.Fields["wait_limit_ms"])
	}
	if gaps := r.gapSummary(); gaps != "" {
		text += "; " + gaps
	}
	if why := r.failureSummary(); why != "" {
		text += "; " + why
	}
	return text + "."
}

// gapTexts says what each cause means for which a shard had no answer.
var gapTexts = map[string]string{
	"slow":     "asked, and not answered in time",
	"room":     "not asked, since leafs were full or left alone",
	"budget":   "not asked again, since the budget for that was spent",
	"late":     "not asked again, since it was too late",
	"attempts": "asked as often as allowed",
	"no_leaf":  "without a leaf that takes requests",
	"forecast": "not asked, since no leaf was expected to answer in time",
	"call":     "not had by the VM that was called",
	"silent":   "left to a VM that had not answered",
	"declined": "left to the VM that called",
}

// gapSummary says why shards were missing, at the VM that took the request and at those it called.
func (r *Reader) gapSummary() string {
	var parts []string
	for i := range r.report.Lines {
		line := &r.report.Lines[i]
		text, _ := line.Fields["gaps"].(string)
		if text == "" {
			continue
		}
		where := "shards missing"
		if line.Message == messageGather {
			where = "at a VM that was called"
		}
		parts = append(parts, where+": "+describeGaps(text))
	}
	return strings.Join(parts, "; ")
}

// describeGaps turns "slow 2: a b; budget 1: c" into words.
func describeGaps(text string) string {
	var parts []string
	for part := range strings.SplitSeq(text, "; ") {
		head, names, _ := strings.Cut(part, ": ")
		cause, count, _ := strings.Cut(head, " ")
		words, known := gapTexts[cause]
		if !known {
			words = cause
		}
		parts = append(parts, fmt.Sprintf("%s %s (%s)", count, words, names))
	}
	return strings.Join(parts, ", ")
}

// failureSummary sums up the attempts and calls that failed.
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
	for what, n := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", n, what))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
