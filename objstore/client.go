package objstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Defaults of the fields of ClientOptions.
const (
	DefaultCallTimeout  = 2 * time.Second  // time limit of one call other than a watch, including the read of its answer
	DefaultWatchTimeout = 15 * time.Second // time limit of one watch
	DefaultIdleTimeout  = 20 * time.Second // time after which an unused connection is closed
	DefaultConnections  = 16               // maximum number of open connections to the platform
)

// maxListBytes is the size, in bytes, of the largest accepted answer other than that
// to a read of a single object.
const maxListBytes = 16 * MaxValue

// ClientOptions configures a Client. Fields that are 0 or less take the defaults.
type ClientOptions struct {
	CallTimeout  time.Duration // time limit of one call other than a watch, including the read of its answer
	WatchTimeout time.Duration // time limit of one watch; must be longer than the platform's own wait limit
	IdleTimeout  time.Duration // time after which an unused connection is closed
	Connections  int           // maximum number of open connections to the platform
}

// withDefaults returns the options with defaults for those that are not set.
func (o ClientOptions) withDefaults() ClientOptions {
	if o.CallTimeout <= 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.WatchTimeout <= 0 {
		o.WatchTimeout = DefaultWatchTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.Connections <= 0 {
		o.Connections = DefaultConnections
	}
	return o
}

// Client is a Store that uses the platform's HTTP interface. It is safe for
// concurrent use.
//
// It never sends a write twice. If a reused connection fails, net/http resends a
// request by itself when its body can be rewound and the request looks idempotent.
// A conditional write that is sent twice may fail with ErrConflict, because its
// first copy has already changed the version. So the Client gives net/http bodies
// that can't be rewound.
//
// A call on a connection over which nothing arrives anymore times out. net/http then
// closes that HTTP/1.1 connection, and the Client closes all idle ones too, because a
// network device that has lost the state of one connection has often lost that of all.
type Client struct {
	base      string // "http://" with the platform's IP and port
	opts      ClientOptions
	transport *http.Transport
	http      *http.Client // sends the requests, over transport
}

var _ Store = (*Client)(nil)

// NewClient returns a Client for the platform at address, an IP and port.
func NewClient(address string, opts ClientOptions) *Client {
	opts = opts.withDefaults()
	dialer := &net.Dialer{Timeout: opts.CallTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConns:           opts.Connections,
		MaxIdleConnsPerHost:    opts.Connections,
		MaxConnsPerHost:        opts.Connections,
		IdleConnTimeout:        opts.IdleTimeout,
		MaxResponseHeaderBytes: 16 << 10,
		DisableCompression:     true,
	}
	return &Client{
		base:      "http://" + address,
		opts:      opts,
		transport: transport,
		http:      &http.Client{Transport: transport},
	}
}

// Close closes the idle connections. The Client stays usable.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get reads one object, see Store. If it does not exist, the error is ErrNotFound.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	ans, err := c.call(ctx, request{method: http.MethodGet, path: objectPath(kind, name), limit: MaxValue})
	if err != nil {
		return Object{}, errors.Annotatef(err, "get %s/%s", kind, name)
	}
	version, err := ans.version()
	if err != nil {
		return Object{}, errors.Annotatef(err, "get %s/%s", kind, name)
	}
	return Object{Kind: kind, Name: name, Version: version, Value: ans.body}, nil
}

// List reads, in name order, up to limit objects of the kind whose names are greater
// than after, see Store.
func (c *Client) List(ctx context.Context, kind, after string, limit int) (Page, error) {
	query := url.Values{"after": {after}, "limit": {strconv.Itoa(limit)}}
	path := PathObjects + url.PathEscape(kind) + "?" + query.Encode()
	var page PageJSON
	if err := c.callJSON(ctx, request{method: http.MethodGet, path: path}, &page); err != nil {
		return Page{}, errors.Annotatef(err, "list %s", kind)
	}
	out := Page{Revision: page.Revision, More: page.More}
	for _, o := range page.Objects {
		out.Objects = append(out.Objects, Object{Kind: kind, Name: o.Name, Version: o.Version, Value: o.Value})
	}
	return out, nil
}

// Put writes value if the object's version is expectedVersion, and returns the new
// version, see Store. An expectedVersion of 0 means that the object must not exist.
func (c *Client) Put(ctx context.Context, kind, name string, expectedVersion uint64, value []byte) (uint64, error) {
	if len(value) > MaxValue {
		return 0, errors.Annotatef(ErrTooLarge, "put %s/%s of %d bytes", kind, name, len(value))
	}
	req := request{method: http.MethodPut, path: objectPath(kind, name), body: value}
	if expectedVersion == 0 {
		req.ifNoneMatch = "*"
	} else {
		req.ifMatch = strconv.FormatUint(expectedVersion, 10)
	}
	ans, err := c.call(ctx, req)
	if err != nil {
		return 0, errors.Annotatef(err, "put %s/%s", kind, name)
	}
	version, err := ans.version()
	return version, errors.Annotatef(err, "put %s/%s", kind, name)
}

// Delete deletes the object if its version is expectedVersion, see Store.
func (c *Client) Delete(ctx context.Context, kind, name string, expectedVersion uint64) error {
	_, err := c.call(ctx, request{
		method:  http.MethodDelete,
		path:    objectPath(kind, name),
		ifMatch: strconv.FormatUint(expectedVersion, 10),
	})
	return errors.Annotatef(err, "delete %s/%s", kind, name)
}

// Watch returns the changes of objects of the kind after since, a revision of the
// store, see Store. It returns an error if the platform has not answered within
// WatchTimeout, because a connection over which nothing arrives anymore looks like a
// platform on which nothing changes.
func (c *Client) Watch(ctx context.Context, kind string, since uint64) (WatchResult, error) {
	var ans WatchResultJSON
	path := PathWatch + url.PathEscape(kind) + "?since=" + strconv.FormatUint(since, 10)
	err := c.callJSON(ctx, request{method: http.MethodGet, path: path, timeout: c.opts.WatchTimeout}, &ans)
	if err != nil {
		return WatchResult{}, errors.Annotatef(err, "watch %s", kind)
	}
	out := WatchResult{Revision: ans.Revision}
	for _, e := range ans.Events {
		out.Events = append(out.Events, Event{
			Kind: kind, Name: e.Name, Version: e.Version, Revision: e.Revision, Deleted: e.Deleted,
		})
	}
	return out, nil
}

// VMs returns the platform's list of VMs, which may be out of date.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var ans VMsJSON
	if err := c.callJSON(ctx, request{method: http.MethodGet, path: PathVMs}, &ans); err != nil {
		return nil, errors.Annotate(err, "list VMs")
	}
	return ans.VMs, nil
}

// request describes one call of the platform's HTTP interface.
type request struct {
	method      string
	path        string        // escaped, including the query
	ifMatch     string        // the If-Match header; empty for none
	ifNoneMatch string        // the If-None-Match header; empty for none
	body        []byte        // empty for none
	limit       int64         // size of the largest accepted answer, in bytes; 0 means maxListBytes
	timeout     time.Duration // time limit of the call; 0 means ClientOptions.CallTimeout
}

// answer is the platform's successful answer to a request, with its complete body.
type answer struct {
	header http.Header
	body   []byte
}

// version returns the object version in the answer's header, or an error if it is
// missing or not a positive number.
func (a answer) version() (uint64, error) {
	text := a.header.Get(HeaderVersion)
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil || v == 0 {
		return 0, errors.Errorf("object store: header %s is %q, want a positive number", HeaderVersion, text)
	}
	return v, nil
}

// callJSON makes a call and decodes the JSON answer into the value that result points to.
func (c *Client) callJSON(ctx context.Context, req request, result any) error {
	ans, err := c.call(ctx, req)
	if err != nil {
		return err
	}
	return errors.Annotate(json.Unmarshal(ans.body, result), "object store: malformed answer")
}

// call sends a request with its timeout and returns the answer. If the request times
// out, call closes all idle connections, because nothing may arrive over them either.
func (c *Client) call(ctx context.Context, req request) (answer, error) {
	timeout := req.timeout
	if timeout == 0 {
		timeout = c.opts.CallTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ans, err := c.send(callCtx, req)
	if err != nil && callCtx.Err() == context.DeadlineExceeded {
		c.transport.CloseIdleConnections()
	}
	return ans, err
}

// send sends a request and reads the whole answer. If the answer has an error status or
// a body larger than the request's limit, send returns an error.
func (c *Client) send(ctx context.Context, req request) (answer, error) {
	hreq, err := req.httpRequest(ctx, c.base)
	if err != nil {
		return answer{}, err
	}
	resp, err := c.http.Do(hreq)
	if err != nil {
		return answer{}, errors.Trace(err)
	}
	defer resp.Body.Close()
	limit := req.limit
	if limit == 0 {
		limit = maxListBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return answer{}, errors.Trace(err)
	}
	if err := statusError(resp, body); err != nil {
		return answer{}, err
	}
	if int64(len(body)) > limit {
		return answer{}, errors.Errorf("object store: answer exceeds %d bytes", limit)
	}
	return answer{header: resp.Header, body: body}, nil
}

// httpRequest returns the HTTP request for r. base is the part of the URL before the path.
func (r request) httpRequest(ctx context.Context, base string) (*http.Request, error) {
	hreq, err := http.NewRequestWithContext(ctx, r.method, base+r.path, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if r.body != nil {
		// NopCloser hides the reader's type, so that the body can't be rewound.
		hreq.Body = io.NopCloser(bytes.NewReader(r.body))
		hreq.ContentLength = int64(len(r.body))
		hreq.Header.Set("Content-Type", "application/json")
	}
	if r.ifMatch != "" {
		hreq.Header.Set("If-Match", r.ifMatch)
	}
	if r.ifNoneMatch != "" {
		hreq.Header.Set("If-None-Match", r.ifNoneMatch)
	}
	return hreq, nil
}

// statusError returns nil if the response's status is a success, and ErrNotFound,
// ErrConflict, ErrTooLarge or ErrBusy for their statuses. For any other status it returns
// an error with the status and the beginning of the body.
func statusError(resp *http.Response, body []byte) error {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests:
		return ErrBusy
	}
	const maxShown = 200 // bytes of the answer in the error text
	text := strings.TrimSpace(string(body[:min(len(body), maxShown)]))
	return errors.Errorf("object store: status %d: %s", resp.StatusCode, text)
}

// objectPath returns the escaped URL path of one object.
func objectPath(kind, name string) string {
	return PathObjects + url.PathEscape(kind) + "/" + url.PathEscape(name)
}
