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

// Limits on reading VMs' status pages.
const (
	maxStatusReads = 32          // number of VMs' status pages that are read concurrently
	maxStatusBytes = 64 << 10    // size of the largest status page of a VM that is read, in bytes
	statusTimeout  = time.Second // time limit for the read of one VM's status page
)

// VMRow is the state of one VM, as status shows it.
type VMRow struct {
	VM            string      `json:"vm"`               // name; or address of its operators' page, if that is from --vm or the settings
	ListedLeaving bool        `json:"listed_leaving"`   // the platform lists the VM as leaving
	Error         string      `json:"error,omitempty"`  // why Status could not be read
	Status        *ops.Status `json:"status,omitempty"` // nil if it could not be read
}

// listVMs returns the platform's list of VMs. If the platform can't be read, it returns the
// VMs of the settings, if there are any: operators need the status most during an outage.
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

// readFleet reads the list of VMs and the status page of every VM. The rows are sorted
// by VM; a page that can't be read is an error in its row only.
func (s *session) readFleet(ctx context.Context) ([]VMRow, error) {
	vms, err := s.listVMs(ctx)
	if err != nil {
		return nil, err
	}
	rows := make([]VMRow, len(vms))
	sem := make(chan struct{}, maxStatusReads)
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sem <- struct{}{}
			defer func() { <-sem }()
			rows[i] = VMRow{VM: vm.Name, ListedLeaving: vm.Leaving}
			status, err := readStatus(ctx, vm.Ops)
			if err != nil {
				rows[i].Error = err.Error()
				return
			}
			rows[i].Status = status
		}()
	}
	wg.Wait()
	sort.Slice(rows, func(i, j int) bool { return rows[i].VM < rows[j].VM })
	return rows, nil
}

// readStatus reads the status page of the VM whose operators' page has that address.
func readStatus(ctx context.Context, address string) (*ops.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ops.PathStatus, nil)
	if err != nil {
		return nil, err
	}
	// Use a new connection each time: the other end of an old one may have stopped
	// responding.
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

// progress says on how many VMs a revision is in force.
type progress struct {
	done bool   // the revision is in force on all VMs
	text string // for the operator: the number of VMs with the revision, and the names of the others
}

// fleetProgress counts the VMs that have the revision or a higher one in force and names
// the others. It leaves out VMs that are leaving, since they receive no requests. Done is
// false if there are no VMs.
func fleetProgress(rows []VMRow, revision uint64) progress {
	inForce, total := 0, 0
	var lagging []string
	for _, row := range rows {
		switch {
		case row.ListedLeaving || row.Status != nil && row.Status.Leaving:
			continue
		case row.Status == nil:
			lagging = append(lagging, row.VM+" (no answer)")
		case row.Status.Revision < revision:
			lagging = append(lagging, fmt.Sprintf("%s (at %d)", row.VM, row.Status.Revision))
		default:
			inForce++
		}
		total++
	}
	p := progress{done: total > 0 && inForce == total, text: fmt.Sprintf("%d of %d VMs have revision %d in force", inForce, total, revision)}
	if len(lagging) > 0 {
		p.text += "; waiting for " + strings.Join(lagging, ", ")
	}
	return p
}

// printProgress prints text and stores it in last, unless last already equals it.
func (a *app) printProgress(last *string, text string) {
	if *last != text {
		fmt.Fprintln(a.stderr, text)
		*last = text
	}
}

// StatusOutput is the output of status.
type StatusOutput struct {
	Head      *rollout.Entry `json:"head"`                 // nil if nothing was rolled out or HeadError is set
	HeadError string         `json:"head_error,omitempty"` // why the head could not be read
	VMs       []VMRow        `json:"vms"`
	Warnings  []string       `json:"warnings"` // faults that the other fields don't show but that will cause failures later
}

// warnings describes faults that the rest of the status doesn't show but that will cause
// failures later.
func (s *session) warnings(output StatusOutput) []string {
	list := []string{}
	if output.Head == nil {
		return list
	}
	if _, err := s.keys.OpenSignOff(output.Head.SignOff); err != nil {
		list = append(list, "VMs that start now will reject the bundle in force; sign it again and roll it out: "+err.Error())
	}
	for _, row := range output.VMs {
		if row.Status != nil && row.Status.Revision > output.Head.Revision {
			list = append(list, fmt.Sprintf("%s is at revision %d, past the head: the store was reverted to an earlier state, see \"A broken chain\" in docs/OPERATIONS.md", row.VM, row.Status.Revision))
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
			var output StatusOutput
			// Read the VMs first: otherwise a rollout between the two reads would make
			// them appear to be past the head.
			if output.VMs, err = s.readFleet(ctx); err != nil {
				return result.Wrap(result.PlatformDown, err, "the list of VMs can't be read; name VMs with --vm")
			}
			if output.Head, err = s.client.Head(ctx); err != nil {
				output.HeadError = err.Error()
			}
			output.Warnings = s.warnings(output)
			return a.print(output, statusTable(output))
		},
	}
}

// statusTable returns the text form of output.
func statusTable(output StatusOutput) table {
	t := table{header: []string{"VM", "REVISION", "DIGEST", "SINCE", "READY", "LEAVING", "PLATFORM", "PEERS"}}
	switch h := output.Head; {
	case output.HeadError != "":
		t.add("(head)", "unknown", output.HeadError)
	case h == nil:
		t.add("(head)", "0", "nothing rolled out yet")
	default:
		t.add("(head)", strconv.FormatUint(h.Revision, 10), shortDigest(h.Digest), formatTime(h.At), "", "", "", "")
	}
	for _, row := range output.VMs {
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
	for _, w := range output.Warnings {
		t.add("warning: " + w)
	}
	return t
}
