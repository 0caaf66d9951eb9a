package objstore

import "encoding/json"

// The platform's HTTP interface:
//
//	GET    /v1/objects/{kind}/{name}                 one object
//	PUT    /v1/objects/{kind}/{name}                 conditional write
//	DELETE /v1/objects/{kind}/{name}                 conditional removal
//	GET    /v1/objects/{kind}?after=NAME&limit=N     a page of a listing
//	GET    /v1/watch/{kind}?since=REVISION           long poll for changes
//	GET    /v1/vms                                   the list of VMs
//
// PUT needs "If-Match: <version>" or, to create, "If-None-Match: *". DELETE
// needs "If-Match". Reads and writes of one object carry its version in
// HeaderVersion. Status 404 means absent, 412 a version conflict, 413 a value
// too large, 429 refused by rate before running. Any other failure leaves the
// effect of a write unknown.
const (
	HeaderVersion = "Object-Version"
	PathObjects   = "/v1/objects/"
	PathWatch     = "/v1/watch/"
	PathVMs       = "/v1/vms"
)

// ObjectJSON is an object in a listing.
type ObjectJSON struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"` // values are JSON
}

// PageJSON is the answer to a listing.
type PageJSON struct {
	Objects  []ObjectJSON `json:"objects"`
	Revision uint64       `json:"revision"`
	More     bool         `json:"more"`
}

// EventJSON is one change in the answer to a watch.
type EventJSON struct {
	Name     string `json:"name"`
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// WatchResultJSON is the answer to a watch. Events is empty when the platform's own
// wait ended without a change.
type WatchResultJSON struct {
	Events   []EventJSON `json:"events"`
	Revision uint64      `json:"revision"`
}

// VMsJSON is the answer to a read of the list of VMs.
type VMsJSON struct {
	VMs []VM `json:"vms"`
}
