package operator

import (
	"context"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/rollout"
)

// reasonFlag returns the flag for the reason of a change or a sign-off, which is required.
func reasonFlag() cli.Flag {
	return &cli.StringFlag{Name: "reason", Required: true, Usage: "`TEXT` that the audit trail keeps"}
}

// changeFlags returns the flags that rollout and recall have in common.
func changeFlags() []cli.Flag {
	return []cli.Flag{
		reasonFlag(),
		&cli.StringFlag{Name: "op", Usage: "operation `ID` of an earlier run whose outcome is unknown"},
		&cli.Uint64Flag{Name: "expect", Usage: "refuse unless this `REVISION` is in force"},
		&cli.BoolFlag{Name: "dry-run", Usage: "check and print the change, write nothing"},
		&cli.DurationFlag{Name: "wait", Usage: "wait this long until every VM has it in force"},
	}
}

func (a *app) signCommand() *cli.Command {
	return &cli.Command{
		Name:      "sign",
		Usage:     "sign off a bundle as a person other than its author",
		ArgsUsage: "DIGEST",
		Flags:     []cli.Flag{reasonFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, digest, err := a.openDigest(ctx, c)
			if err != nil {
				return err
			}
			signOff, err := s.client.SignOff(ctx, digest, c.String("reason"))
			if err != nil {
				return err
			}
			return a.print(signOff, table{rows: [][]string{
				{"signed off", signOff.Digest}, {"by", signOff.Person}, {"made at revision", strconv.FormatUint(signOff.After, 10)},
			}})
		},
	}
}

// openDigest opens a session and returns it with the full digest that the command's only
// argument stands for; see resolveDigest.
func (a *app) openDigest(ctx context.Context, c *cli.Command) (*session, string, error) {
	arg, err := singleArg(c, "a digest")
	if err != nil {
		return nil, "", err
	}
	s, err := a.open(c)
	if err != nil {
		return nil, "", err
	}
	digest, err := s.resolveDigest(ctx, arg)
	return s, digest, err
}

func (a *app) rolloutCommand() *cli.Command {
	return &cli.Command{
		Name:      "rollout",
		Usage:     "put a bundle into force on every VM",
		ArgsUsage: "DIGEST",
		Flags:     changeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return a.runChange(ctx, c, (*rollout.Client).Rollout)
		},
	}
}

func (a *app) recallCommand() *cli.Command {
	return &cli.Command{
		Name:      "recall",
		Usage:     "withdraw a bundle as a whole",
		ArgsUsage: "DIGEST|head",
		Flags:     changeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return a.runChange(ctx, c, (*rollout.Client).Recall)
		},
	}
}

// ChangeOutput is the output of rollout and recall.
type ChangeOutput struct {
	DryRun   bool           `json:"dry_run,omitempty"`  // nothing was written
	Outcome  string         `json:"outcome"`            // "accepted", or "would be written" with --dry-run
	Op       rollout.OpID   `json:"op"`                 // operation id, for --op when the command is run again
	Revision uint64         `json:"revision"`           // of the change
	Action   rollout.Action `json:"action"`             // rollout or recall
	InForce  string         `json:"in_force"`           // digest of the bundle that the change put into force
	Name     string         `json:"name"`               // name of the bundle that the change put into force
	Before   string         `json:"before"`             // digest of the bundle that was in force before the change
	Recalled string         `json:"recalled,omitempty"` // digest of the recalled bundle
}

// changeFunc is rollout.Client.Rollout or rollout.Client.Recall. The string is the digest of
// the bundle.
type changeFunc func(*rollout.Client, context.Context, string, rollout.Request) (rollout.Entry, error)

// runChange calls change with the command's digest and flags and prints the result. If
// --wait is given, it then waits until the VMs have the change in force.
func (a *app) runChange(ctx context.Context, c *cli.Command, change changeFunc) error {
	s, digest, err := a.openDigest(ctx, c)
	if err != nil {
		return err
	}
	request := rollout.Request{
		Reason: c.String("reason"), Op: rollout.OpID(c.String("op")),
		Expect: c.Uint64("expect"), DryRun: c.Bool("dry-run"),
	}
	entry, err := change(s.client, ctx, digest, request)
	if err != nil {
		return err
	}
	output := ChangeOutput{
		DryRun: request.DryRun, Outcome: "accepted", Op: entry.Op, Revision: entry.Revision, Action: entry.Action,
		InForce: entry.Digest, Name: entry.Name, Before: entry.Before, Recalled: entry.Recalled,
	}
	if request.DryRun {
		output.Outcome = "would be written"
	}
	if err := a.print(output, changeTable(output)); err != nil {
		return err
	}
	if wait := c.Duration("wait"); wait > 0 && !request.DryRun {
		return a.waitForFleet(ctx, s, entry.Revision, wait)
	}
	return nil
}

// changeTable returns the text form of output.
func changeTable(output ChangeOutput) table {
	t := table{rows: [][]string{
		{string(output.Action), output.Outcome},
		{"revision", strconv.FormatUint(output.Revision, 10)},
		{"in force", output.InForce + " " + output.Name},
		{"operation", string(output.Op)},
	}}
	if output.Recalled != "" {
		t.add("recalled", output.Recalled)
	}
	return t
}

// pollInterval is the pause between two reads of the VMs' status pages, while the command
// waits until a change is in force on all of them.
const pollInterval = 200 * time.Millisecond

// waitForFleet reads the VMs' status pages until each VM has the revision in force. After
// wait it returns an error that names the VMs without the revision. It finishes the reads
// that are in progress at that time: if they were cut off, the error would also name VMs
// that have the revision.
func (a *app) waitForFleet(ctx context.Context, s *session, revision uint64, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	last := ""
	for {
		rows, err := s.readFleet(ctx)
		progress := fleetProgress(rows, revision)
		if err != nil {
			progress.text = "the list of VMs can't be read: " + err.Error()
		}
		a.printProgress(&last, progress.text)
		if progress.done {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return result.Errorf(result.Lagging, "after %s: %s", wait, last)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}
