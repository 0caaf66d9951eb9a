package operator

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// The formats of the output.
const (
	formatText = "text" // aligned columns
	formatJSON = "json" // indented JSON
)

// table is the text form of a command's output.
type table struct {
	header []string   // column names; may be empty
	rows   [][]string // cells of each row
}

// add appends a row with these cells.
func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// print writes value as JSON or t as text, depending on the output format.
func (a *app) print(value any, t table) error {
	if a.format == formatJSON {
		return a.printJSON(value)
	}
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	if len(t.header) > 0 {
		printRow(w, t.header)
	}
	for _, row := range t.rows {
		printRow(w, row)
	}
	return w.Flush()
}

// printRow writes one row of a table whose columns w aligns when it is flushed.
func printRow(w *tabwriter.Writer, cells []string) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}

// printJSON writes value to standard output as indented JSON, whatever the output format.
func (a *app) printJSON(value any) error {
	enc := json.NewEncoder(a.stdout)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(value)
}

// errorJSON is a failed command's output with -o json.
type errorJSON struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Detail string      `json:"detail"`         // text of the error
	Next   string      `json:"next,omitempty"` // what the operator should do
}

// printError prints a command's error and what the operator should do: as JSON to standard
// output, or as text to standard error, depending on the output format.
func (a *app) printError(err error) {
	code := result.CodeOf(err)
	if a.format == formatJSON {
		_ = a.printJSON(errorJSON{Code: code, Name: code.String(), Detail: err.Error(), Next: nextSteps[code]})
		return
	}
	fmt.Fprintf(a.stderr, "bramleyctl: %v\n", err)
	if next := nextSteps[code]; next != "" {
		fmt.Fprintf(a.stderr, "next: %s\n", next)
	}
}

// formatTime returns t in UTC with a precision of 1 s, or "never" for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.UTC().Format("2006-01-02 15:04:05Z")
}

// shortDigest returns the first digits of a digest, for display. Commands accept these
// digits in place of the whole digest.
func shortDigest(digest string) string {
	const shownDigits = 12
	return digest[:min(len(digest), shownDigits)]
}
