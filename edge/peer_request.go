package edge

import (
	"net/http"

	"github.com/bramleybarrow/bramleybarrow/leafhttp"
)

// peerRequest is a caller's request in messages between VMs. It holds all of leafhttp.Request, so that
// leafs get the same request whichever VM sends it.
type peerRequest struct {
	Method string      `cbor:"3,keyasint" json:"method"` // HTTP method of the request to leafs
	Target string      `cbor:"4,keyasint" json:"target"` // path and query of the request to leafs
	Host   string      `cbor:"5,keyasint" json:"host"`   // Host header of the request to leafs
	Header http.Header `cbor:"6,keyasint" json:"header"` // other headers of the request to leafs
	// Body and HasBody are sent in gatherCalls only on connections that speak
	// wire.VersionRequestBody: VMs of earlier releases would leave them out towards leafs.
	Body    []byte `cbor:"27,keyasint,omitempty" json:"body,omitempty"`
	HasBody bool   `cbor:"28,keyasint,omitempty" json:"has_body,omitempty"`
}

// newPeerRequest returns the message form of a request.
func newPeerRequest(r *leafhttp.Request) peerRequest {
	return peerRequest{Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body, HasBody: r.HasBody}
}

// leafRequest returns the request to leafs. It shares its header and body with r.
func (r *peerRequest) leafRequest() *leafhttp.Request {
	return &leafhttp.Request{Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body, HasBody: r.HasBody}
}

// Bounds of the bodies in calls between VMs, in bytes.
const (
	// maxDelegatedBody is the longest body of a request whose shards other VMs query. For a longer
	// one this VM asks the leafs itself.
	maxDelegatedBody = 256 << 10
	// maxPeerBodies bounds the bodies of all calls of other VMs that this one serves at the same time.
	maxPeerBodies = 16 << 20
)
