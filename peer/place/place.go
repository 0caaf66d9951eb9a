// Package place gives each VM a place of its own in the fleet: a number from 0 to
// bundle.Fleet.MaxVMs-1, claimed by a conditional write to the platform. Places
// decide which VMs own connections to which targets (package share), so no two
// processes may hold one at a time. A claim costs an incarnation of a VM one listing
// and one write, and another write for the release. Claims aren't renewed.
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

// Kind is the kind of the platform's objects that hold claims. An object's name is
// the name of the deployment, a dash and the place with four digits.
const Kind = "vm-places"

// ErrNoneFree means that all places are held by VMs that aren't known to have ended.
var ErrNoneFree = errors.New("place: no place is free")

// Claim is the JSON value of an object.
type Claim struct {
	VM          string    `json:"vm"`
	Incarnation string    `json:"incarnation"`
	At          time.Time `json:"at"` // by the holder's clock; informational only
}

// Options configures Acquire. All fields are required.
type Options struct {
	Store       objstore.Store
	Deployment  string
	VM          string
	Incarnation string
	// Ended reports whether a process is known to have ended.
	Ended func(vm, incarnation string) bool
}

// Held is a place that this process holds.
type Held struct {
	Place   int
	version uint64
	opts    Options
}

// pageSize is the number of claims read at a time.
const pageSize = 1000

// Acquire claims one of the places from 0 to places-1. It returns ErrNoneFree if none
// is available now.
func Acquire(ctx context.Context, o Options, places int) (*Held, error) {
	claims, err := listClaims(ctx, o)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for place, c := range claims {
		if c.VM == o.VM && c.Incarnation == o.Incarnation && place < places {
			return &Held{Place: place, version: c.version, opts: o}, nil // an earlier answer was lost
		}
	}
	for _, place := range rand.Perm(places) {
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

// Lost reports whether this process doesn't hold the place any more. A VM that was
// frozen for a long time has to check that before it opens connections again.
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

func (o Options) objectName(place int) string { return fmt.Sprintf("%s-%04d", o.Deployment, place) }

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

type storedClaim struct {
	Claim
	version uint64
}

func listClaims(ctx context.Context, o Options) (map[int]storedClaim, error) {
	claims := map[int]storedClaim{}
	prefix := o.Deployment + "-"
	for after := prefix; ; {
		page, err := o.Store.List(ctx, Kind, after, pageSize)
		if err != nil {
			return nil, err
		}
		for _, object := range page.Objects {
			after = object.Name
			number, sameDeployment := strings.CutPrefix(object.Name, prefix)
			place, err := strconv.Atoi(number)
			if !sameDeployment || err != nil {
				continue // it belongs to another deployment
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
