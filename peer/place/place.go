// Package place gives each VM a place of its own in the fleet. A place is a number from
// 0 to bundle.Fleet.MaxVMs-1 that a VM claims by a conditional write of an object of the
// platform. Places decide which VMs own connections to which targets (package share),
// so no two processes may hold one at a time. Each incarnation of a VM makes one listing
// and one write for its claim, and another write, the deletion, for its release. Claims
// aren't renewed.
package place

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/objstore"
)

// Kind is the kind of the platform's objects that hold the claims to places. There is one
// object for each place that is claimed. Its name is the name of the deployment, a dash
// and the number of the place with four digits.
const Kind = "vm-places"

// ErrNoneFree means that no place could be claimed: each place is held by a process that
// isn't known to have ended, or was claimed by another VM during the call.
var ErrNoneFree = errors.New("place: no place is free")

// Claim is the JSON value of a platform's object of this Kind. It says which process
// holds the place whose number is in the object's name.
type Claim struct {
	VM          string    `json:"vm"`          // name of the holder's VM
	Incarnation string    `json:"incarnation"` // of the holder's process
	At          time.Time `json:"at"`          // by the holder's clock; informational only
}

// Options configures Acquire. All fields are required.
type Options struct {
	Store       objstore.Store // the platform, which holds the claims
	Deployment  string         // only places of this deployment are claimed
	VM          string         // name of this VM
	Incarnation string         // of this VM's process
	// Ended reports whether a process, given by its VM and incarnation, is known to have
	// ended. If so, this VM may claim the place of that process.
	Ended func(vm, incarnation string) bool
}

// Held is a place that this process has claimed: a number that no other process holds
// and that decides to which targets this VM owns connections.
type Held struct {
	Place   int    // number of the place, counted from 0
	version uint64 // of the object that holds the claim, as this process wrote it; another version means that the claim was lost
	opts    Options
}

// claimsPerPage is the number of claims that one listing request to the platform reads.
const claimsPerPage = 1000

// Acquire claims one of the places numbered 0 to placeCount-1 for this process, and
// returns the place. It claims a random place that no process holds, or whose holder is
// known to have ended. If this process already holds a place, Acquire returns that one. It
// returns ErrNoneFree if no place could be claimed.
func Acquire(ctx context.Context, o Options, placeCount int) (*Held, error) {
	claims, err := listClaims(ctx, o)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for place, c := range claims {
		if c.VM == o.VM && c.Incarnation == o.Incarnation && place < placeCount {
			return &Held{Place: place, version: c.version, opts: o}, nil // claimed by an earlier call whose answer was lost
		}
	}
	for _, place := range rand.Perm(placeCount) {
		claim, taken := claims[place]
		if taken && !o.Ended(claim.VM, claim.Incarnation) {
			continue
		}
		held, err := o.putClaim(ctx, place, claim.version)
		if errors.Is(err, objstore.ErrConflict) {
			continue // another VM was faster
		}
		return held, errors.Trace(err)
	}
	return nil, ErrNoneFree
}

// Release frees the place if this process still holds it.
func (h *Held) Release(ctx context.Context) error {
	err := h.opts.Store.Delete(ctx, Kind, h.opts.objectName(h.Place), h.version)
	if errors.Is(err, objstore.ErrNotFound) || errors.Is(err, objstore.ErrConflict) {
		return nil
	}
	return errors.Trace(err)
}

// Lost reads the claim from the platform and reports whether this process no longer holds
// the place. A VM that was frozen for a long time has to check that before it opens
// connections to targets again.
func (h *Held) Lost(ctx context.Context) (bool, error) {
	object, err := h.opts.Store.Get(ctx, Kind, h.opts.objectName(h.Place))
	switch {
	case errors.Is(err, objstore.ErrNotFound):
		return true, nil
	case err != nil:
		return false, errors.Trace(err)
	default:
		return object.Version != h.version, nil
	}
}

// objectName returns the name of the platform's object that holds the claim to a place.
func (o Options) objectName(place int) string { return fmt.Sprintf("%s-%04d", o.Deployment, place) }

// putClaim writes this process's claim to a place if the object that holds the place's
// claim has the version expect; 0 means that there must be no such object. If it has
// another version, putClaim returns objstore.ErrConflict.
func (o Options) putClaim(ctx context.Context, place int, expect uint64) (*Held, error) {
	value, err := json.Marshal(Claim{VM: o.VM, Incarnation: o.Incarnation, At: time.Now().UTC()})
	if err != nil {
		return nil, err
	}
	version, err := o.Store.Put(ctx, Kind, o.objectName(place), expect, value)
	if err != nil {
		return nil, err
	}
	return &Held{Place: place, version: version, opts: o}, nil
}

// storedClaim is a claim as read from the platform.
type storedClaim struct {
	Claim
	version uint64 // of the object that holds the claim
}

// listClaims reads all claims of this deployment from the platform. The key of the map is
// the number of the place.
func listClaims(ctx context.Context, o Options) (map[int]storedClaim, error) {
	claims := map[int]storedClaim{}
	prefix := o.Deployment + "-"
	for after := prefix; ; {
		page, err := o.Store.List(ctx, Kind, after, claimsPerPage)
		if err != nil {
			return nil, err
		}
		for _, object := range page.Objects {
			after = object.Name
			number, sameDeployment := strings.CutPrefix(object.Name, prefix)
			place, err := strconv.Atoi(number)
			if !sameDeployment || err != nil {
				continue // it isn't a place of this deployment
			}
			c := storedClaim{version: object.Version}
			if err := json.Unmarshal(object.Value, &c.Claim); err != nil {
				return nil, errors.Annotatef(err, "claim %s", object.Name)
			}
			claims[place] = c
		}
		if !page.More || len(page.Objects) == 0 {
			return claims, nil
		}
	}
}
