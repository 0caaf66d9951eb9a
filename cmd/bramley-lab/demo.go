package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/gateway"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/fleet"
	"github.com/bramleybarrow/bramleybarrow/internal/lab/targetsim"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/settings"
)

// Sizes and limits of the demo.
const (
	demoTargets  = 4           // number of targets of the demo's deployment
	demoLeaves   = 2           // number of leaves of each target
	demoShards   = 4           // number of shards of the demo's index
	demoReplicas = 2           // number of replicas of each shard
	demoRecords  = 400         // number of records in the demo's index, all shards together
	demoVMs      = 2           // number of VMs, each of which is a daemon process
	demoTimeout  = time.Minute // time limit for the start of the deployment and all requests of the demo together
	demoPort     = 8001        // port where the first VM serves callers; each further VM uses the next port. docs/API.md refers to it
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "start a small deployment as processes, send it requests and print its answers",
		Flags: []cli.Flag{
			daemonFlag(),
			&cli.DurationFlag{Name: "stay", Usage: "keep the deployment running for this time after the requests"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			daemon, lab, err := programPaths(cmd)
			if err != nil {
				return err
			}
			return runDemo(ctx, daemon, lab, cmd.Duration("stay"))
		},
	}
}

// runDemo starts a deployment, sends the demo's requests to it, keeps it running for stay
// and stops it. Daemon and lab are the paths of bramleyd and bramley-lab.
func runDemo(ctx context.Context, daemon, lab string, stay time.Duration) error {
	dir, err := os.MkdirTemp("", "bramley-demo")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(dir)
	f, err := fleet.New(fleet.Options{Daemon: daemon, Lab: lab, Dir: dir, Deployment: "demo"})
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	demoCtx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	daemons, err := startDemo(demoCtx, f)
	if err != nil {
		return errors.Annotate(err, f.Logs(5))
	}
	if err := queryDemo(demoCtx, daemons); err != nil {
		return errors.Trace(err)
	}
	if stay > 0 {
		fmt.Printf("\nserving at %s and %s for %s; interrupt to end\n", daemons[0].Callers, daemons[1].Callers, stay)
	}
	select {
	case <-ctx.Done():
	case <-time.After(stay):
	}
	return nil
}

// startDemo starts the platform, the targets and the daemons, rolls out a bundle and
// waits until every daemon returns complete answers.
func startDemo(ctx context.Context, f *fleet.Fleet) ([]*fleet.Daemon, error) {
	platform, err := f.StartPlatform(time.Second)
	if err != nil {
		return nil, errors.Trace(err)
	}
	targets, err := startDemoTargets(f)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var daemons []*fleet.Daemon
	var vms []objstore.VM
	for i := range demoVMs {
		d, err := f.StartDaemon(fleet.DaemonOptions{
			Name:         fmt.Sprintf("vm-%d", i+1),
			Zone:         "reykjanes",
			EditSettings: func(s *settings.Settings) { s.Listen.Callers = fmt.Sprintf("127.0.0.1:%d", demoPort+i) },
		})
		if err != nil {
			return nil, errors.Trace(err)
		}
		daemons = append(daemons, d)
		vms = append(vms, d.VM())
	}
	if err := platform.SetVMs(vms, 0); err != nil {
		return nil, errors.Trace(err)
	}
	entry, err := f.RollOut(ctx, demoBundle(targets))
	if err != nil {
		return nil, errors.Trace(err)
	}
	fmt.Printf("bundle %.12s rolled out as revision %d\n", entry.Digest, entry.Revision)
	return daemons, waitReady(ctx, daemons)
}

// startDemoTargets starts the targets with one index, whose shards are spread over them.
func startDemoTargets(f *fleet.Fleet) ([]*fleet.Target, error) {
	index := targetsim.Index{Service: "inspector-desk", Snapshot: "2026-12-01", Seq: 1, Shards: demoShards, Records: demoRecords}
	var targets []*fleet.Target
	for i, placement := range targetsim.PlaceReplicas(index, demoTargets, demoLeaves, demoReplicas) {
		t, err := f.StartTarget(targetsim.Options{
			Name: fmt.Sprintf("inspector-desk-%d", i+1), Service: index.Service,
			Leaves: demoLeaves, Slots: 2, Seed: uint64(i), Timing: targetsim.Timing{BaseMS: 2},
			Snapshots: []targetsim.SnapshotPlacement{placement},
		})
		if err != nil {
			return nil, errors.Trace(err)
		}
		targets = append(targets, t)
	}
	return targets, nil
}

// demoBundle returns a bundle with one service, which has these targets, and with one search
// of each kind. Fleet.RollOut sets its format, deployment and author.
func demoBundle(targets []*fleet.Target) *bundle.Bundle {
	svc := bundle.Service{
		Name: "inspector-desk", Shards: demoShards,
		Drain: bundle.Drain{HealthIntervalMS: 200, HealthTimeoutMS: 500, SuspectAfter: 3},
	}
	for _, t := range targets {
		svc.Targets = append(svc.Targets, bundle.Target{
			Name: t.Name, Zone: "reykjanes", Address: t.Address,
			Leaves: demoLeaves, Slots: 2, Connections: 25, ConnectCostMS: 6,
		})
	}
	search := func(name string, kind bundle.SearchKind) bundle.Search {
		return bundle.Search{
			Name: name, Kind: kind, Service: svc.Name, MaxItems: 100,
			Coverage:  bundle.Coverage{Default: 1, Min: 0.5},
			TimeLimit: bundle.TimeLimit{DefaultMS: 1000, MinMS: 10, MaxMS: 10000},
			Retry:     bundle.Retry{MaxAttempts: 3, Budget: 0.1},
		}
	}
	return &bundle.Bundle{
		Name:     "demo",
		Zones:    []bundle.Zone{{Name: "reykjanes", Region: "iceland"}},
		Fleet:    bundle.Fleet{MaxVMs: demoVMs + 1},
		Services: []bundle.Service{svc},
		Searches: []bundle.Search{
			search("licences", bundle.KindSearch),
			search("register", bundle.KindBrowse),
			search("withdrawal-report", bundle.KindSubmit),
		},
	}
}

// waitReady waits until every daemon returns an answer from all shards.
func waitReady(ctx context.Context, daemons []*fleet.Daemon) error {
	for _, d := range daemons {
		for {
			a, _, err := d.Search(ctx, "licences", gateway.SearchBody{Query: "ready"})
			if err == nil && a.Coverage != nil && a.Coverage.Ratio == 1 {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Annotatef(ctx.Err(), "%s did not become ready", d.Name)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// queryDemo sends each kind of request to every daemon and prints the answers. The
// non-idempotent request has the same key for all daemons and runs only once.
func queryDemo(ctx context.Context, daemons []*fleet.Daemon) error {
	key := fmt.Sprintf("%d-demo-report", time.Now().Unix())
	for _, d := range daemons {
		answer, _, err := d.Search(ctx, "licences", gateway.SearchBody{Query: "well", Limit: 3})
		if err != nil {
			return errors.Trace(err)
		}
		printAnswer(d, "search licences", &answer)
		if answer, _, err = d.Browse(ctx, "register", gateway.SearchBody{Limit: 3}); err != nil {
			return errors.Trace(err)
		}
		printAnswer(d, "browse register", &answer)
		if answer, _, err = d.Submit(ctx, "withdrawal-report", key, map[string]int{"m3": 12}); err != nil {
			return errors.Trace(err)
		}
		printAnswer(d, "submit withdrawal-report", &answer)
	}
	return nil
}

// printAnswer prints a daemon's answer to a request. Request is a description, not the body.
func printAnswer(d *fleet.Daemon, request string, answer *gateway.Answer) {
	fmt.Printf("\n%s: %s -> %d %s in %.1f ms\n", d.Name, request, answer.Code, answer.Name, answer.TookMS)
	if c := answer.Coverage; c != nil {
		fmt.Printf("  snapshot %s, revision %d, %d of %d shards, %d records read, %d missing\n",
			answer.Snapshot, answer.Revision, c.ShardsAnswered, c.Shards, c.Records, c.Missing)
	}
	for _, item := range answer.Items {
		fmt.Printf("  %-14s score %.3f\n", item.Key, item.Score)
	}
	if answer.Result != nil {
		fmt.Printf("  result %s\n", answer.Result)
	}
}
