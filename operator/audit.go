package operator

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/rollout"
)

// AuditOutput is the output of audit.
type AuditOutput struct {
	Unbroken bool       `json:"unbroken"` // always true; a broken trail is reported as error 610
	Head     uint64     `json:"head"`     // revision of the head
	Rows     []AuditRow `json:"rows"`
}

// AuditRow is one accepted change, or one refused attempt.
type AuditRow struct {
	Accepted bool           `json:"accepted"`           // the row is an accepted change; else a refused attempt
	Revision uint64         `json:"revision,omitempty"` // of an accepted change
	At       time.Time      `json:"at"`                 // when the person made the change or attempt, by the person's clock
	Person   string         `json:"person"`             // operator who requested the change
	Action   rollout.Action `json:"action"`             // rollout or recall
	Digest   string         `json:"digest"`             // of the bundle that was to be rolled out or recalled
	InForce  string         `json:"in_force,omitempty"` // digest of the bundle that the change put into force
	Before   string         `json:"before,omitempty"`   // digest of the bundle that was in force before the change
	Reason   string         `json:"reason"`             // as the person stated it
	Op       rollout.OpID   `json:"op,omitempty"`       // operation id
	Code     result.Code    `json:"code,omitempty"`     // why an attempt was refused; 0 for an accepted change
	Detail   string         `json:"detail,omitempty"`   // text of the error with Code
}

func (a *app) auditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "read the audit trail and verify that it is unbroken",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "person", Usage: "only changes by `NAME`"},
			&cli.StringFlag{Name: "action", Usage: "only this `ACTION`: rollout or recall"},
			&cli.StringFlag{Name: "digest", Usage: "only changes about a `DIGEST`, or its beginning"},
			&cli.TimestampFlag{Name: "since", Usage: "only changes from `TIME` on", Config: timestamps},
			&cli.TimestampFlag{Name: "until", Usage: "only changes before `TIME`", Config: timestamps},
			&cli.IntFlag{Name: "last", Usage: "only the last `N` rows"},
			&cli.BoolFlag{Name: "refused", Usage: "with refused attempts"},
		},
		Action: a.audit,
	}
}

func (a *app) restoreHeadCommand() *cli.Command {
	return &cli.Command{
		Name:  "restore-head",
		Usage: "write the latest archived entry to the head again, after the platform lost the head or reverted it",
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := a.open(c)
			if err != nil {
				return err
			}
			e, err := s.client.RestoreHead(ctx)
			if err != nil {
				return err
			}
			return a.print(e, table{rows: [][]string{
				{"head", "revision " + strconv.FormatUint(e.Revision, 10)}, {"in force", e.Digest + " " + e.Name},
			}})
		},
	}
}

// timestamps lists the accepted formats of the flags --since and --until of audit.
var timestamps = cli.TimestampConfig{Layouts: []string{time.RFC3339, "2006-01-02 15:04:05", time.DateOnly}}

// audit is the action of the command audit. It fails if the audit trail is broken.
func (a *app) audit(ctx context.Context, c *cli.Command) error {
	s, err := a.open(c)
	if err != nil {
		return err
	}
	chain, err := s.client.Audit(ctx)
	if err != nil {
		return err
	}
	rows := acceptedRows(chain.Entries)
	if c.Bool("refused") {
		refused, err := s.client.Refusals(ctx)
		if err != nil {
			return err
		}
		rows = append(rows, refusedRows(refused)...)
		sort.SliceStable(rows, func(i, j int) bool { return rows[i].At.Before(rows[j].At) })
	}
	rows = filterRows(rows, newAuditFilter(c))
	output := AuditOutput{Unbroken: true, Head: chain.Head, Rows: rows}
	return a.print(output, auditTable(output))
}

// acceptedRows returns one row for each entry of the audit trail.
func acceptedRows(entries []rollout.Entry) []AuditRow {
	rows := make([]AuditRow, 0, len(entries))
	for i := range entries {
		e := &entries[i]
		rows = append(rows, AuditRow{
			Accepted: true, Revision: e.Revision, At: e.At, Person: e.Person, Action: e.Action,
			Digest: e.Subject(), InForce: e.Digest, Before: e.Before, Reason: e.Reason, Op: e.Op,
		})
	}
	return rows
}

// refusedRows returns one row for each refused attempt.
func refusedRows(refusals []rollout.Refusal) []AuditRow {
	rows := make([]AuditRow, 0, len(refusals))
	for _, r := range refusals {
		rows = append(rows, AuditRow{
			At: r.At, Person: r.Person, Action: r.Action, Digest: r.Digest,
			Reason: r.Reason, Op: r.Op, Code: r.Code, Detail: r.Detail,
		})
	}
	return rows
}

// auditFilter selects rows of the audit trail. Its fields hold the flags of the command
// audit; a field that is zero excludes no row.
type auditFilter struct {
	person, action, digest string    // digest may be the beginning of a digest
	since, until           time.Time // since is included, until is not
	last                   int       // maximum number of rows; the latest are kept
}

// newAuditFilter reads the filter from the flags of the command audit.
func newAuditFilter(c *cli.Command) auditFilter {
	return auditFilter{
		person: c.String("person"), action: c.String("action"), digest: c.String("digest"),
		since: c.Timestamp("since"), until: c.Timestamp("until"), last: c.Int("last"),
	}
}

// matches reports whether a row passes all fields of the filter except last.
func (f auditFilter) matches(r AuditRow) bool {
	return (f.person == "" || r.Person == f.person) &&
		(f.action == "" || string(r.Action) == f.action) &&
		(strings.HasPrefix(r.Digest, f.digest) || r.InForce != "" && strings.HasPrefix(r.InForce, f.digest)) &&
		(f.since.IsZero() || !r.At.Before(f.since)) &&
		(f.until.IsZero() || r.At.Before(f.until))
}

// filterRows returns the rows that match f, and of these only the last f.last if that is
// not zero.
func filterRows(rows []AuditRow, f auditFilter) []AuditRow {
	selected := []AuditRow{}
	for _, r := range rows {
		if f.matches(r) {
			selected = append(selected, r)
		}
	}
	if f.last > 0 && len(selected) > f.last {
		selected = selected[len(selected)-f.last:]
	}
	return selected
}

// auditTable returns the text form of output.
func auditTable(output AuditOutput) table {
	t := table{header: []string{"REVISION", "AT", "PERSON", "ACTION", "DIGEST", "IN FORCE", "REASON"}}
	for _, r := range output.Rows {
		if !r.Accepted {
			t.add("refused", formatTime(r.At), r.Person, string(r.Action), shortDigest(r.Digest), "", r.Reason+" ("+r.Code.String()+")")
			continue
		}
		t.add(strconv.FormatUint(r.Revision, 10), formatTime(r.At), r.Person, string(r.Action),
			shortDigest(r.Digest), shortDigest(r.InForce), r.Reason)
	}
	t.add("unbroken up to revision " + strconv.FormatUint(output.Head, 10))
	return t
}
