package operator

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/explain"
	"github.com/bramleybarrow/bramleybarrow/result"
)

func (a *app) explainDayCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain-day",
		Usage:     "sum up from daemons' logs where requests were late, refused, failed or answered in part, and why",
		ArgsUsage: "[LOG...]",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "window", Usage: "length of the windows", Value: 0, DefaultText: "2s"},
			&cli.FloatFlag{Name: "late-credit", Usage: "credit of a late answer, from 0 to 1", Value: 0},
			&cli.StringSliceFlag{Name: "weight", Usage: "ROUTE=WEIGHT: what a request of the route counts; 1 if not named"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			weights, err := parseWeights(c.StringSlice("weight"))
			if err != nil {
				return err
			}
			lateCredit := c.Float("late-credit")
			if !(lateCredit >= 0 && lateCredit <= 1) {
				return result.Errorf(result.BadRequest, "late-credit: found %v, allowed is a number from 0 to 1", lateCredit)
			}
			day, err := readDay(explain.DayOptions{
				Window: c.Duration("window"), LateCredit: lateCredit, Weights: weights,
			}, c.Args().Slice())
			if err != nil {
				return err
			}
			return a.print(day, dayTable(day))
		},
	}
}

// parseWeights parses weights of the form ROUTE=WEIGHT.
func parseWeights(list []string) (map[string]float64, error) {
	weights := make(map[string]float64)
	for _, text := range list {
		route, number, _ := strings.Cut(text, "=")
		weight, err := strconv.ParseFloat(number, 64)
		if err != nil || !(weight >= 0 && weight <= math.MaxFloat64) || route == "" {
			return nil, result.Errorf(result.BadRequest, "weight: found %q, allowed is ROUTE=WEIGHT with a weight from 0", text)
		}
		weights[route] = weight
	}
	return weights, nil
}

// readDay returns the account of the log files, or of standard input if there are none.
func readDay(options explain.DayOptions, paths []string) (explain.Day, error) {
	reader := explain.NewDayReader(options)
	if len(paths) == 0 {
		err := reader.Read(os.Stdin)
		return reader.Day(), errors.Trace(err)
	}
	for _, path := range paths {
		if err := readFile(path, reader.Read); err != nil {
			return explain.Day{}, result.Wrap(result.BadRequest, err, "log")
		}
	}
	return reader.Day(), nil
}

// readFile passes the file at path to read.
func readFile(path string, read func(io.Reader) error) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	return errors.Annotate(read(file), path)
}

// dayTable returns the text form of day.
func dayTable(day explain.Day) table {
	t := table{header: []string{"", "asked", "in time", "late", "refused", "failed", "not owed", "credit", "lost by cause"}}
	row := func(a explain.Account) {
		t.add(a.Name, strconv.Itoa(a.Asked), strconv.Itoa(a.InTime), strconv.Itoa(a.Late), strconv.Itoa(a.Refused),
			strconv.Itoa(a.Failed), strconv.Itoa(a.Unowed()), fmt.Sprintf("%.3f", a.Share(a.Earned)), lossText(a))
	}
	row(day.Total)
	for _, group := range [][]explain.Account{day.Windows, day.Routes, day.Zones, day.Ranks, mostLoss(day.Tenants)} {
		for _, a := range group {
			row(a)
		}
	}
	if day.Unread > 0 {
		t.add("unread", fmt.Sprintf("%d lines", day.Unread))
	}
	return t
}

// maxTenantRows is the number of tenants that the text form names.
const maxTenantRows = 10

// mostLoss returns the tenants that lost the most credit, the one with the greatest loss first.
func mostLoss(tenants []explain.Account) []explain.Account {
	loss := func(a explain.Account) float64 { return a.Owed - a.Earned }
	list := slices.Clone(tenants)
	slices.SortStableFunc(list, func(a, b explain.Account) int { return cmp.Compare(loss(b), loss(a)) })
	return list[:min(len(list), maxTenantRows)]
}

// maxLossCauses is the number of causes that a row names.
const maxLossCauses = 4

// lossText names the causes by which most credit was lost, as shares of what was owed.
func lossText(a explain.Account) string {
	causes := slices.SortedFunc(maps.Keys(a.Lost), func(x, y string) int {
		return cmp.Or(cmp.Compare(a.Lost[y], a.Lost[x]), cmp.Compare(x, y))
	})
	var parts []string
	for _, cause := range causes[:min(len(causes), maxLossCauses)] {
		parts = append(parts, fmt.Sprintf("%s %.3f", cause, a.Share(a.Lost[cause])))
	}
	return strings.Join(parts, ", ")
}
