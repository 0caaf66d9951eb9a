package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/rollout"
)

func (a *app) bundleCommand() *cli.Command {
	return &cli.Command{
		Name:  "bundle",
		Usage: "check, compare, push and read bundles",
		Commands: []*cli.Command{
			{Name: "check", Usage: "check a file without the platform", ArgsUsage: "FILE", Action: a.bundleCheck},
			{Name: "diff", Usage: "compare two bundles: files, digests or head", ArgsUsage: "FROM TO", Action: a.bundleDiff},
			{Name: "push", Usage: "write a file to the platform as its author", ArgsUsage: "FILE", Action: a.bundlePush},
			{Name: "list", Usage: "list the bundles on the platform", Action: a.bundleList},
			{Name: "show", Usage: "print a bundle as its author wrote it", ArgsUsage: "DIGEST|head", Action: a.bundleShow},
		},
	}
}

// CheckOutput is the output of bundle check.
type CheckOutput struct {
	Digest   string           `json:"digest"`   // of the bundle in the file
	Bytes    int              `json:"bytes"`    // size of the file
	Findings []bundle.Finding `json:"findings"` // errors; the bundle is invalid if there are any
	Warnings []bundle.Finding `json:"warnings"` // about a valid bundle; none if there are findings
}

// readFileArg reads the file that is the command's only argument.
func readFileArg(c *cli.Command) ([]byte, error) {
	path, err := singleArg(c, "a file")
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(result.BadRequest, err, "FILE")
	}
	return data, nil
}

// bundleCheck is the action of bundle check. It prints the findings about a file, then fails
// if there are any or if the file is too large for the platform.
func (a *app) bundleCheck(_ context.Context, c *cli.Command) error {
	data, err := readFileArg(c)
	if err != nil {
		return err
	}
	b, findings := bundle.Parse(data)
	output := CheckOutput{
		Digest: bundle.Digest(data), Bytes: len(data),
		Findings: append([]bundle.Finding{}, findings...), Warnings: []bundle.Finding{},
	}
	if len(findings) == 0 {
		output.Warnings = append(output.Warnings, b.Warnings()...)
	}
	t := table{rows: [][]string{
		{"digest", output.Digest},
		{"bytes", fmt.Sprintf("%d of %d allowed", len(data), bundle.MaxBytes)},
		{"findings", strconv.Itoa(len(findings))},
	}}
	for _, f := range findings {
		t.add("finding", f.String())
	}
	for _, f := range output.Warnings {
		t.add("warning", f.String())
	}
	if err := a.print(output, t); err != nil {
		return err
	}
	if len(findings) > 0 {
		a.errorPrinted = true
		return result.Errorf(result.BadBundle, "%d findings", len(findings))
	}
	if len(data) > bundle.MaxBytes {
		return result.Errorf(result.BundleTooLarge, "found %d bytes, allowed are %d", len(data), bundle.MaxBytes)
	}
	return nil
}

// bundlePush is the action of bundle push. It prints the digest of the bundle.
func (a *app) bundlePush(ctx context.Context, c *cli.Command) error {
	data, err := readFileArg(c)
	if err != nil {
		return err
	}
	s, err := a.open(c)
	if err != nil {
		return err
	}
	digest, err := s.client.Push(ctx, data)
	if err != nil {
		return err
	}
	return a.print(map[string]string{"digest": digest}, table{rows: [][]string{{digest}}})
}

// bundleList is the action of bundle list.
func (a *app) bundleList(ctx context.Context, c *cli.Command) error {
	s, err := a.open(c)
	if err != nil {
		return err
	}
	list, err := s.client.ListBundles(ctx)
	if err != nil {
		return err
	}
	t := table{header: []string{"DIGEST", "DEPLOYMENT", "NAME", "AUTHOR", "BYTES", "FAULT"}}
	for _, b := range list {
		t.add(shortDigest(b.Digest), b.Deployment, b.Name, b.Author, strconv.Itoa(b.Bytes), b.Fault)
	}
	return a.print(list, t)
}

// bundleShow is the action of bundle show. It prints the bundle's bytes unchanged, whatever
// the output format.
func (a *app) bundleShow(ctx context.Context, c *cli.Command) error {
	arg, err := singleArg(c, "a digest or head")
	if err != nil {
		return err
	}
	s, err := a.open(c)
	if err != nil {
		return err
	}
	digest, err := s.resolveDigest(ctx, arg)
	if err != nil {
		return err
	}
	data, err := s.client.LoadBundleBytes(ctx, digest)
	if err != nil {
		return err
	}
	_, err = a.stdout.Write(data)
	return err
}

// bundleDiff is the action of bundle diff, which compares two bundles.
func (a *app) bundleDiff(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return result.Errorf(result.BadRequest, "found %d arguments, allowed are two: FROM TO", c.Args().Len())
	}
	from, err := a.readBundle(ctx, c, c.Args().Get(0))
	if err != nil {
		return err
	}
	to, err := a.readBundle(ctx, c, c.Args().Get(1))
	if err != nil {
		return err
	}
	changes, err := Diff(from, to)
	if err != nil {
		return err
	}
	var t table
	for _, ch := range changes {
		t.add(ch.Path, ch.From, "->", ch.To)
	}
	if len(changes) == 0 {
		t.add("no difference")
	}
	return a.print(changes, t)
}

// readBundle reads the file named arg, or the bundle with that digest on the platform if
// the file can't be read.
func (a *app) readBundle(ctx context.Context, c *cli.Command, arg string) ([]byte, error) {
	data, err := os.ReadFile(arg)
	if err == nil {
		if !json.Valid(data) {
			return nil, result.Errorf(result.BadBundle, "%s is not JSON", arg)
		}
		return data, nil
	}
	s, err := a.open(c)
	if err != nil {
		return nil, err
	}
	digest, err := s.resolveDigest(ctx, arg)
	if err != nil {
		return nil, err
	}
	return s.client.LoadBundleBytes(ctx, digest)
}

// argHead is the argument that stands for the bundle in force, in place of a digest.
const argHead = "head"

// minDigestPrefix is the least number of leading digits that may stand for a whole digest
// in an argument.
const minDigestPrefix = 6

// resolveDigest returns the full digest that arg stands for. For argHead it is that of the
// bundle in force, and for the first digits of a digest that of the only bundle on the
// platform whose digest starts with them. A full digest is returned as it is, without a
// check that the platform has the bundle.
func (s *session) resolveDigest(ctx context.Context, arg string) (string, error) {
	const digestLen = 64 // hex digits of a SHA-256 digest
	if len(arg) == digestLen {
		return arg, nil
	}
	if arg == argHead {
		entry, err := s.client.Head(ctx)
		if err != nil {
			return "", err
		}
		if entry == nil {
			return "", result.Errorf(result.NotFound, "nothing is in force yet")
		}
		return entry.Digest, nil
	}
	if len(arg) < minDigestPrefix {
		return "", result.Errorf(result.BadRequest, "found %q, allowed is a digest or at least its first %d digits", arg, minDigestPrefix)
	}
	// Two names are enough to find out whether more than one starts with arg.
	page, err := s.store.List(ctx, rollout.KindBundle, arg, 2)
	if err != nil {
		return "", result.Wrap(result.PlatformDown, err, "listing bundles")
	}
	return uniqueMatch(page.Objects, arg)
}

// uniqueMatch returns the name of the only object whose name starts with prefix. It returns
// an error if there is no such object, or more than one.
func uniqueMatch(objects []objstore.Object, prefix string) (string, error) {
	var found []string
	for _, obj := range objects {
		if len(obj.Name) >= len(prefix) && obj.Name[:len(prefix)] == prefix {
			found = append(found, obj.Name)
		}
	}
	switch len(found) {
	case 1:
		return found[0], nil
	case 0:
		return "", result.Errorf(result.NotFound, "no bundle's digest starts with %q", prefix)
	default:
		return "", result.Errorf(result.BadRequest, "more than one bundle's digest starts with %q; give more digits", prefix)
	}
}
