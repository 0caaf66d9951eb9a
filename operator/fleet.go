package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/ops"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/rollout"
)

// The bounds on reading VMs' status pages.
const (
	maxStatusReads = 32
	maxStatusBytes = 64 << 10
	statusTimeout  = time.Second
)

// VMRow is what is known of one VM.
type VMRow struct {
	VM            string      `json:"vm"`
	ListedLeaving bool        `json:"listed_leaving"` // by the platform's list
	Error         string      `json:"error,omitempty"`
	Status        *ops.Status `json:"status,omitempty"`
}

// listVMs returns the platform's list of VMs, or those of the settings while
// the platform can't be read, which is when operators need their status most.
func (s *session) listVMs(ctx context.Context) ([]objstore.VM, error) {
	vms, err := s.store.VMs(ctx)
	if err == nil || len(s.settings.VMs) == 0 {
		return vms, err
	}
	for _, address := range s.settings.VMs {
		vms = append(vms, objstore.VM{Name: address, Ops: address})
	}
	return vms, nil
}

// readFleet reads the list of VMs and every VM's status page.
func (s *session) readFleet(ctx context.Context) ([]VMRow, error) {
	vms, err := s.listVMs(ctx)
	if err != nil {
		return nil, err
	}
	rows := make([]VMRow, len(vms))
	slots := make(chan struct{}, maxStatusReads)
	var wait sync.WaitGroup
	for i, vm := range vms {
		wait.Add(1)
		go func() {
			defer wait.Done()
			slots <- struct{}{}
			defer func() { <-slots }()
			rows[i] = VMRow{VM: vm.Name, ListedLeaving: vm.Leaving}
			status, err := readStatus(ctx, vm.Ops)
			if err != nil {
				rows[i].Error = err.Error()
				return
			}
			rows[i].Status = status
		}()
	}
	wait.Wait()
	sort.Slice(rows, func(i, j int) bool { return rows[i].VM < rows[j].VM })
	return rows, nil
}

func readStatus(ctx context.Context, address string) (*ops.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ops.PathStatus, nil)
	if err != nil {
		return nil, err
	}
	// A fresh connection each time: an old one may have gone silent.
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status page: %s", resp.Status)
	}
	var status ops.Status
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&status)
	return &status, err
}

// progress is how far a revision has come.
type progress struct {
	done bool
	text string
}

// fleetProgress counts the VMs that have the revision and names those that lag.
// A VM that is leaving gets no work and is not waited for.
func fleetProgress(rows []VMRow, revision uint64) progress {
	have, all := 0, 0
	var lag []string
	for _, row := range rows {
		switch {
		case row.ListedLeaving || row.Status != nil && row.Status.Leaving:
			continue
		case row.Status == nil:
			lag = append(lag, row.VM+" (no answer)")
		case row.Status.Revision < revision:
			lag = append(lag, fmt.Sprintf("%s (at %d)", row.VM, row.Status.Revision))
		default:
			have++
		}
		all++
	}
	p := progress{done: all > 0 && have == all, text: fmt.Sprintf("%d of %d VMs have revision %d in force", have, all, revision)}
	if len(lag) > 0 {
		p.text += "; waiting for " + strings.Join(lag, ", ")
	}
	return p
}

// printProgress prints progress when it changed.
func (a *app) printProgress(last *string, text string) {
	if *last != text {
		fmt.Fprintln(a.err, text)
		*last = text
	}
}

// StatusOutput is what status prints.
type StatusOutput struct {
	Head      *rollout.Entry `json:"head"` // nil: nothing rolled out, or HeadError
	HeadError string         `json:"head_error,omitempty"`
	VMs       []VMRow        `json:"vms"`
	Warnings  []string       `json:"warnings"`
}

// warnings tells of states that look healthy and end badly.
func (s *session) warnings(answer StatusOutput) []string {
	list := []string{}
	if answer.Head == nil {
		return list
	}
	if _, err := s.keys.OpenSignOff(answer.Head.SignOff); err != nil {
		list = append(list, "VMs that start now will not take the bundle in force; sign it again and roll it out: "+err.Error())
	}
	for _, row := range answer.VMs {
		if row.Status != nil && row.Status.Revision > answer.Head.Revision {
			list = append(list, fmt.Sprintf("%s is at revision %d, past the head: the store was set back, see \"A broken chain\" in docs/OPERATIONS.md", row.VM, row.Status.Revision))
		}
	}
	return list
}

func (a *app) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the head and what each VM has in force",
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := a.open(c)
			if err != nil {
				return err
			}
			var answer StatusOutput
			// VMs first: a rollout in between must not make them look past the head.
			if answer.VMs, err = s.readFleet(ctx); err != nil {
				return result.Wrap(result.PlatformDown, err, "the list of VMs can't be read; name VMs with --vm")
			}
			if answer.Head, err = s.client.Head(ctx); err != nil {
				answer.HeadError = err.Error()
			}
			answer.Warnings = s.warnings(answer)
			return a.print(answer, statusTable(answer))
		},
	}
}

func statusTable(answer StatusOutput) table {
	t := table{head: []string{"VM", "REVISION", "DIGEST", "SINCE", "READY", "LEAVING", "PLATFORM", "PEERS"}}
	switch h := answer.Head; {
	case answer.HeadError != "":
		t.add("(head)", "unknown", answer.HeadError)
	case h == nil:
		t.add("(head)", "0", "nothing rolled out yet")
	default:
		t.add("(head)", strconv.FormatUint(h.Revision, 10), shortDigest(h.Digest), formatTime(h.At), "", "", "", "")
	}
	for _, row := range answer.VMs {
		if row.Status == nil {
			t.add(row.VM, "no answer", row.Error)
			continue
		}
		st := row.Status
		contact := "reachable"
		if !st.PlatformReachable {
			contact = "lost, last " + formatTime(st.PlatformContact)
		}
		t.add(row.VM, strconv.FormatUint(st.Revision, 10), shortDigest(st.Digest), formatTime(st.Since),
			strconv.FormatBool(st.Ready), strconv.FormatBool(st.Leaving || row.ListedLeaving), contact, strconv.Itoa(st.Peers))
	}
	for _, w := range answer.Warnings {
		t.add("warning: " + w)
	}
	return t
}
