package edgesim

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
)

// StoreProxy is one VM's way to a store, which may turn that VM away while it serves others.
// It is safe for concurrent use.
type StoreProxy struct {
	server       *httptest.Server
	storeAddress string

	watches atomic.Int64 // watches of leafs in progress
	reads   atomic.Int64 // calls for leafs or the manifest so far

	mu           sync.Mutex // guards shut
	rejectStatus int        // status answered to every call; 0 while it is open
}

// NewStoreProxy opens a way to the store at an address.
func NewStoreProxy(store string) *StoreProxy {
	d := &StoreProxy{storeAddress: store}
	d.server = httptest.NewServer(http.HandlerFunc(d.serve))
	return d
}

// Address returns where the VM finds the store.
func (d *StoreProxy) Address() string { return strings.TrimPrefix(d.server.URL, "http://") }

// Close ends the way.
func (d *StoreProxy) Close() {
	d.server.CloseClientConnections()
	d.server.Close()
}

// Reject answers a status to every call from now on, and cuts those in progress.
func (d *StoreProxy) Reject(status int) {
	d.mu.Lock()
	d.rejectStatus = status
	d.mu.Unlock()
	d.server.CloseClientConnections()
}

// DropConnections cuts the calls in progress.
func (d *StoreProxy) DropConnections() { d.server.CloseClientConnections() }

// Rejecting reports whether the VM is turned away.
func (d *StoreProxy) Rejecting() bool { return d.rejectionStatus() != 0 }

// Watching reports whether the VM watches the store's leafs just now.
func (d *StoreProxy) Watching() bool { return d.watches.Load() > 0 }

// ReadCount returns how many times the VM called for leafs or the manifest.
func (d *StoreProxy) ReadCount() int { return int(d.reads.Load()) }

func (d *StoreProxy) rejectionStatus() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rejectStatus
}

func (d *StoreProxy) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/servers") || strings.HasSuffix(r.URL.Path, "/config") {
		d.reads.Add(1)
	}
	if status := d.rejectionStatus(); status != 0 {
		w.WriteHeader(status)
		return
	}
	if strings.HasSuffix(r.URL.Path, "/servers") && r.URL.Query().Has("watch") {
		d.watches.Add(1)
		defer d.watches.Add(-1)
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+d.storeAddress+r.URL.RequestURI(), r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	resp, err := http.DefaultClient.Do(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	// The VM is gone if this fails.
	_, _ = io.Copy(w, resp.Body)
}
