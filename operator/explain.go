package operator

import (
	"context"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// nextSteps says what an operator should do about a result code. For a code without an
// entry no advice is printed.
var nextSteps = map[result.Code]string{
	result.BadRequest:     "correct the command line; --help lists what a command takes",
	result.KeyReused:      "use audit to see what that operation did, and run your command without --op",
	result.Conflict:       "read audit, decide whether your change is still wanted, and run the command again without --op",
	result.BadBundle:      "correct each finding and run bundle check before you push",
	result.BundleTooLarge: "shorten names or split the deployment; bundle check prints the size",
	result.NotSigned:      "have somebody other than the author run sign DIGEST",
	result.UnknownKey:     "sign with a key that the settings of all VMs list as active; keys prints those of your settings",
	result.SelfSigned:     "have somebody other than the author run sign DIGEST",
	result.Recalled:       "find out why it was recalled (audit), and have it signed again if it is good after all",
	result.NotFound:       "list the existing bundles with bundle list, and push the missing one",
	result.WriteUnknown:   "run the same command again with the --op that is named; it takes effect once at most",
	result.PlatformDown:   "nothing was changed; VMs go on with what is in force; try again when the platform answers",
	result.BrokenAudit:    "change nothing, keep a copy of the platform's objects, and follow \"A broken chain\" in docs/OPERATIONS.md",
	result.NothingBefore:  "push, sign and roll out a bundle that works",
	result.BadSettings:    "correct the field that is named in the settings file, environment or flags",
	result.Lagging:        "the change is accepted; check the named VMs with status; they put it into force as soon as they receive it",
}

// Explanation is the output of explain.
type Explanation struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Class   int         `json:"class"` // hundreds digit of the code, and exit status
	HTTP    int         `json:"http"`  // HTTP status
	Ran     string      `json:"ran"`   // whether a target ran the request
	Again   string      `json:"again"` // whether a retry makes sense
	Meaning string      `json:"meaning"`
	Next    string      `json:"next,omitempty"` // what the operator should do
}

func (a *app) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "say what a result code means and what to do",
		ArgsUsage: "CODE",
		Action: func(_ context.Context, c *cli.Command) error {
			arg, err := singleArg(c, "a code's number or name")
			if err != nil {
				return err
			}
			row, ok := findCode(arg)
			if !ok {
				return result.Errorf(result.BadRequest, "found the code %q, allowed is one of docs/RESULT-CODES.md", arg)
			}
			e := Explanation{
				Code: row.Code, Name: row.Name, Class: int(row.Code.Class()), HTTP: row.HTTP,
				Ran: row.Ran.String(), Again: row.Retry.String(), Meaning: row.Text, Next: nextSteps[row.Code],
			}
			t := table{rows: [][]string{
				{strconv.Itoa(int(e.Code)), e.Name},
				{"meaning", e.Meaning},
				{"run", e.Ran},
				{"again", e.Again},
			}}
			if e.Next != "" {
				t.add("next", e.Next)
			}
			return a.print(e, t)
		},
	}
}

// findCode returns the row of result.Table with the number or name arg, in any case. The
// second result is false if there is none.
func findCode(arg string) (result.Info, bool) {
	for _, row := range result.Table {
		if strconv.Itoa(int(row.Code)) == arg || strings.EqualFold(row.Name, arg) {
			return row, true
		}
	}
	return result.Info{}, false
}
