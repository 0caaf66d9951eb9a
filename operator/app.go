// Package operator is the operators' command line as a library: the commands
// of bramleyctl, their settings and their output.
package operator

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// The names of the flags that all commands have.
const (
	flagConfig     = "config"     // settings file
	flagPlatform   = "platform"   // platform's IP address and port
	flagDeployment = "deployment" // name of the deployment
	flagKey        = "key"        // file with the operator's private key
	flagOutput     = "output"     // output format: formatText or formatJSON
	flagPatience   = "patience"   // how long to retry calls to the platform that fail
	flagVM         = "vm"         // addresses of VMs' operators' pages, used when the platform can't list VMs
)

// Run executes one command line, args, whose first item is the program's name. It returns
// the exit status: 0 for success, else the class of the result code, which is the code's
// hundreds digit. Results are written to stdout, progress and errors to stderr. With
// -o json the error of a failed command is written to stdout instead.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	app := newApp(stdout, stderr)
	err := app.rootCommand().Run(ctx, args)
	if err == nil {
		return 0
	}
	if !app.errorPrinted {
		app.printError(err)
	}
	return int(result.CodeOf(err).Class())
}

// app is one execution of a command line.
type app struct {
	stdout io.Writer
	stderr io.Writer
	format string // formatText or formatJSON
	// errorPrinted means that the command's output already contains its error, so that
	// Run does not print it again.
	errorPrinted bool
}

// newApp returns an app that prints text until setFormat has read the output format.
func newApp(stdout, stderr io.Writer) *app {
	return &app{stdout: stdout, stderr: stderr, format: formatText}
}

// rootCommand returns bramleyctl with all its subcommands.
func (a *app) rootCommand() *cli.Command {
	root := &cli.Command{
		Name:                  "bramleyctl",
		Usage:                 "manage a bramleybarrow deployment by its bundles",
		EnableShellCompletion: true,
		Suggest:               true,
		Writer:                a.stdout,
		ErrWriter:             a.stderr,
		Flags:                 commonFlags(),
		Before:                a.setFormat,
		// Run prints the error and returns the exit status; the default handler may
		// end the process.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			a.keygenCommand(),
			a.keysCommand(),
			a.bundleCommand(),
			a.signCommand(),
			a.rolloutCommand(),
			a.recallCommand(),
			a.statusCommand(),
			a.auditCommand(),
			a.restoreHeadCommand(),
			a.explainCommand(),
			a.explainRequestCommand(),
			a.explainDayCommand(),
		},
	}
	forEachCommand(root, func(c *cli.Command) {
		c.OnUsageError = usageError
		if c.Action == nil {
			c.Action = missingCommand
		}
	})
	return root
}

// forEachCommand calls visit for c and for all its subcommands, at any depth.
func forEachCommand(c *cli.Command, visit func(*cli.Command)) {
	visit(c)
	for _, sub := range c.Commands {
		forEachCommand(sub, visit)
	}
}

// commonFlags returns the flags that all commands have.
func commonFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagConfig, Aliases: []string{"c"}, Usage: "settings `FILE`", Sources: cli.EnvVars("BRAMLEY_CONFIG")},
		&cli.StringFlag{Name: flagPlatform, Usage: "platform's IP `ADDRESS` and port", Sources: cli.EnvVars("BRAMLEY_PLATFORM")},
		&cli.StringFlag{Name: flagDeployment, Usage: "`NAME` of the deployment", Sources: cli.EnvVars("BRAMLEY_DEPLOYMENT")},
		&cli.StringFlag{Name: flagKey, Usage: "`FILE` with your private key", Sources: cli.EnvVars("BRAMLEY_KEY")},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: formatText, Usage: "`FORMAT` of the output: text or json"},
		&cli.DurationFlag{Name: flagPatience, Usage: "how long to retry calls to the platform that fail", Sources: cli.EnvVars("BRAMLEY_PATIENCE")},
		&cli.StringSliceFlag{Name: flagVM, Usage: "`ADDRESS` of a VM's operators' page, used when the platform can't list VMs", Sources: cli.EnvVars("BRAMLEY_VMS")},
	}
}

// setFormat checks and stores the output format before any command runs.
func (a *app) setFormat(ctx context.Context, c *cli.Command) (context.Context, error) {
	format := c.String(flagOutput)
	if format != formatText && format != formatJSON {
		return ctx, result.Errorf(result.BadRequest, "--output: found %q, allowed is text or json", format)
	}
	a.format = format
	return ctx, nil
}

// usageError is the OnUsageError of all commands, which is called for invalid or missing
// flags. It gives err the code BadRequest and refers to the command's --help.
func usageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	return result.Wrap(result.BadRequest, err, fmt.Sprintf("see %s --help", c.FullName()))
}

// missingCommand is the action of commands that only have subcommands. It prints their
// help, or returns an error if the first argument is no subcommand.
func missingCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return result.Errorf(result.BadRequest, "found the unknown command %q; see %s --help for those allowed", c.Args().First(), c.FullName())
	}
	return cli.ShowSubcommandHelp(c)
}

// singleArg returns the only argument of a command. The error for any other number of
// arguments contains argument, a description of the expected one.
func singleArg(c *cli.Command, argument string) (string, error) {
	if c.Args().Len() != 1 {
		return "", result.Errorf(result.BadRequest, "found %d arguments, allowed is one: %s", c.Args().Len(), argument)
	}
	return c.Args().First(), nil
}
