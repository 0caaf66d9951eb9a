package operator

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/explain"
	"github.com/bramleybarrow/bramleybarrow/result"
)

func (a *app) explainRequestCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain-request",
		Usage:     "find out from daemons' logs how a caller's request ended and why",
		ArgsUsage: "ID [LOG...]",
		Action: func(_ context.Context, c *cli.Command) error {
			if !c.Args().Present() {
				return result.Errorf(result.BadRequest, "found no argument, allowed are a request's id and logs; without logs, standard input is read")
			}
			report, err := readLogs(c.Args().First(), c.Args().Tail())
			if err != nil {
				return err
			}
			return a.print(report, requestTable(report))
		},
	}
}

// readLogs returns the report on the request with this id from the log files, or from
// standard input if there are none.
func readLogs(request string, paths []string) (explain.Report, error) {
	reader := explain.NewReader(request)
	if len(paths) == 0 {
		err := reader.Read("stdin", os.Stdin)
		return reader.Report(), errors.Trace(err)
	}
	for _, path := range paths {
		if err := readFile(path, func(log io.Reader) error { return reader.Read(path, log) }); err != nil {
			return explain.Report{}, result.Wrap(result.BadRequest, err, "log")
		}
	}
	return reader.Report(), nil
}

// requestTable returns the text form of report.
func requestTable(report explain.Report) table {
	t := table{rows: [][]string{{"request", report.Request}, {"cause", report.Cause}}}
	for _, line := range report.Lines {
		t.add(line.At.Format(time.StampMicro), line.Message+" "+fieldText(line.Fields))
	}
	if report.Unread > 0 {
		t.add("unread", fmt.Sprintf("%d lines", report.Unread))
	}
	return t
}

// fieldText formats fields as name=value, sorted by name.
func fieldText(fields map[string]any) string {
	parts := make([]string, 0, len(fields))
	for name, value := range fields {
		parts = append(parts, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
