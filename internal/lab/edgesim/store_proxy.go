package edgesim

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
)

// StoreProxy is an HTTP proxy between one VM and a store. It can reject the calls of that VM while
// the store serves other VMs. It is safe for concurrent use.
type StoreProxy struct {
	server       *httptest.Server
	storeAddress string

	watches atomic.Int64 // watches of leafs (kind "servers") in progress
	reads   atomic.Int64 // calls so far for leafs or the manifest (kind "config"), rejected ones included

	mu           sync.Mutex    // guards the fields below
	rejectStatus int           // HTTP status of the response to every call; 0 while calls are forwarded
	silence      chan struct{} // closed when calls and responses pass again; nil while they pass
}

// NewStoreProxy starts a proxy to the store at that IP and port.
func NewStoreProxy(storeAddress string) *StoreProxy {
	p := &StoreProxy{storeAddress: storeAddress}
	p.server = httptest.NewServer(http.HandlerFunc(p.serve))
	return p
}

// Address returns the proxy's IP and port.
func (p *StoreProxy) Address() string { return strings.TrimPrefix(p.server.URL, "http://") }

// Close closes all connections and stops the proxy.
func (p *StoreProxy) Close() {
	p.server.CloseClientConnections()
	p.server.Close()
}

// Reject makes the proxy respond to every further call with the HTTP status, and aborts the calls
// in progress. With status 0 it forwards calls again.
func (p *StoreProxy) Reject(status int) {
	p.mu.Lock()
	p.rejectStatus = status
	p.mu.Unlock()
	p.server.CloseClientConnections()
}

// SetSilent makes the proxy hold all calls and responses, those of calls in progress too, or lets them pass
// again.
func (p *StoreProxy) SetSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case silent && p.silence == nil:
		p.silence = make(chan struct{})
	case !silent && p.silence != nil:
		close(p.silence)
		p.silence = nil
	}
}

// awaitSound waits until calls pass, or ctx ends.
func (p *StoreProxy) awaitSound(ctx context.Context) {
	p.mu.Lock()
	silence := p.silence
	p.mu.Unlock()
	if silence == nil {
		return
	}
	select {
	case <-silence:
	case <-ctx.Done():
	}
}

// DropConnections aborts the calls in progress.
func (p *StoreProxy) DropConnections() { p.server.CloseClientConnections() }

// Rejecting reports whether the proxy rejects the VM's calls.
func (p *StoreProxy) Rejecting() bool { return p.rejectionStatus() != 0 }

// Watching reports whether a watch of the store's leafs by the VM is in progress.
func (p *StoreProxy) Watching() bool { return p.watches.Load() > 0 }

// ReadCount returns how many calls for leafs or the manifest the VM has sent.
func (p *StoreProxy) ReadCount() int { return int(p.reads.Load()) }

// rejectionStatus returns the HTTP status with which every call is rejected, or 0 if calls are
// forwarded.
func (p *StoreProxy) rejectionStatus() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejectStatus
}

// serve counts a call and rejects it or forwards it to the store. It forwards neither the headers of
// the call nor those of the response.
func (p *StoreProxy) serve(w http.ResponseWriter, r *http.Request) {
	p.awaitSound(r.Context())
	if strings.HasSuffix(r.URL.Path, "/servers") || strings.HasSuffix(r.URL.Path, "/config") {
		p.reads.Add(1)
	}
	if status := p.rejectionStatus(); status != 0 {
		w.WriteHeader(status)
		return
	}
	if strings.HasSuffix(r.URL.Path, "/servers") && r.URL.Query().Has("watch") {
		p.watches.Add(1)
		defer p.watches.Add(-1)
	}
	forwarded, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+p.storeAddress+r.URL.RequestURI(), r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	resp, err := http.DefaultClient.Do(forwarded)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	p.awaitSound(r.Context())
	w.WriteHeader(resp.StatusCode)
	// The VM has disconnected if this fails.
	_, _ = io.Copy(w, resp.Body)
}
