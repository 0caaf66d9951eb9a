package objstore

import "encoding/json"

// The platform's HTTP interface:
//
//	GET    /v1/objects/{kind}/{name}                 one object
//	PUT    /v1/objects/{kind}/{name}                 conditional write
//	DELETE /v1/objects/{kind}/{name}                 conditional deletion
//	GET    /v1/objects/{kind}?after=NAME&limit=N     a page of a listing
//	GET    /v1/watch/{kind}?since=REVISION           long poll for changes
//	GET    /v1/vms                                   the list of VMs
//
// PUT requires "If-Match: <version>" or, to create an object, "If-None-Match: *".
// DELETE requires "If-Match". The answers to GET and PUT of one object carry its
// version in HeaderVersion. Status 404 means that the object does not exist,
// 412 a version conflict, 413 a value that is too large, and 429 a call that was
// refused by rate limiting before it ran. After any other failure it is unknown
// whether a write took effect.
const (
	HeaderVersion = "Object-Version" // header of an answer: the version of the object
	PathObjects   = "/v1/objects/"   // start of the URL path of an object or a listing
	PathWatch     = "/v1/watch/"     // start of the URL path of a watch
	PathVMs       = "/v1/vms"        // URL path of the list of VMs
)

// ObjectJSON is the JSON form of an object in a listing.
type ObjectJSON struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"` // values are JSON
}

// PageJSON is the answer to a listing.
type PageJSON struct {
	Objects  []ObjectJSON `json:"objects"`
	Revision uint64       `json:"revision"` // of the store at the time of the read
	More     bool         `json:"more"`     // more objects follow the last one
}

// EventJSON is one change of an object in the answer to a watch.
type EventJSON struct {
	Name     string `json:"name"`
	Version  uint64 `json:"version"`           // of the object after the change
	Revision uint64 `json:"revision"`          // of the store after the change; increases with each write to the store
	Deleted  bool   `json:"deleted,omitempty"` // the change deleted the object
}

// WatchResultJSON is the answer to a watch. Events is empty if no object changed
// within the platform's own wait limit.
type WatchResultJSON struct {
	Events   []EventJSON `json:"events"`
	Revision uint64      `json:"revision"` // of the store, up to which changes are reported; since of the next watch
}

// VMsJSON is the answer to a request for the list of VMs.
type VMsJSON struct {
	VMs []VM `json:"vms"`
}
