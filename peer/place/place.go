// Package place gives each VM a place of its own among the fleet's: a number
// from 0 to bundle.Fleet.MaxVMs-1, claimed by a conditional write to the
// platform. Places decide who owns connections to which targets (package share),
// so no two processes may hold one at a time. A claim costs a VM a listing and
// one write in its life, and one write to give it back; nothing is renewed.
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

// Kind is the kind of the platform's objects that hold claims. Their names are
// the deployment's, a dash and the place.
const Kind = "vm-places"

// ErrNoneFree means that all places are held by VMs that are not known to be gone.
var ErrNoneFree = errors.New("place: none is free")

// Claim is the value of an object.
type Claim struct {
	VM          string    `json:"vm"`
	Incarnation string    `json:"incarnation"`
	At          time.Time `json:"at"` // by the holder's clock; for people to read
}

// Options configure Take. All are required.
type Options struct {
	Store       objstore.Store
	Deployment  string
	VM          string
	Incarnation string
	// Ended tells whether a process is known to have ended.
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

// Acquire claims one of the places. It returns ErrNone if none can be had now.
func Acquire(ctx context.Context, o Options, places int) (*Held, error) {
	claims, err := listClaims(ctx, o)
	if err != nil {
		return nil, errors.Trace(err)
	}
	for place, c := range claims {
		if c.VM == o.VM && c.Incarnation == o.Incarnation && place < places {
			return &Held{Place: place, version: c.version, opts: o}, nil // its answer was lost
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

// Release gives the place back, if it is still this process's.
func (h *Held) Release(ctx context.Context) error {
	err := h.opts.Store.Delete(ctx, Kind, h.opts.objectName(h.Place), h.version)
	if errors.Is(err, objstore.ErrNotFound) || errors.Is(err, objstore.ErrConflict) {
		return nil
	}
	return errors.Trace(err)
}

// Lost tells whether another process holds the place by now. A VM that was
// frozen for long has to ask before it opens connections again.
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
			number, own := strings.CutPrefix(object.Name, prefix)
			place, err := strconv.Atoi(number)
			if !own || err != nil {
				continue // of another deployment
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
