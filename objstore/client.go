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

// Defaults of ClientOptions.
const (
	DefaultCallTimeout  = 2 * time.Second
	DefaultWatchTimeout = 15 * time.Second
	DefaultIdleTimeout  = 20 * time.Second
	DefaultConnections  = 16
)

// maxListBytes bounds the answer to a listing or a watch.
const maxListBytes = 16 * MaxValue

// ClientOptions tune a Client. A zero field stands for its default.
type ClientOptions struct {
	CallTimeout  time.Duration // of every call but a watch, its answer read included
	WatchTimeout time.Duration // longer than the platform's own wait
	IdleTimeout  time.Duration // after which an unused connection is closed
	Connections  int           // open to the platform at once, at most
}

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

// Client is a Store that speaks the platform's HTTP interface.
//
// It never sends a write twice. net/http by itself repeats a request whose
// reused connection fails if the body can be rewound and the request looks
// idempotent; a repeated conditional write would answer ErrConflict about
// itself. So writes carry a body that cannot be rewound.
//
// A connection that has gone silent shows as a call that runs into its timeout.
// HTTP/1.1 then closes that connection, and the Client drops every idle one
// too, since whatever lost track of one has often lost track of them all.
type Client struct {
	base      string
	opts      ClientOptions
	transport *http.Transport
	http      *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a Client of the platform at address, an IP and port.
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

// Close drops the idle connections. The Client stays usable.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Get implements Store.
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

// List implements Store.
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

// Put implements Store.
func (c *Client) Put(ctx context.Context, kind, name string, expect uint64, value []byte) (uint64, error) {
	if len(value) > MaxValue {
		return 0, errors.Annotatef(ErrTooLarge, "put %s/%s of %d bytes", kind, name, len(value))
	}
	req := request{method: http.MethodPut, path: objectPath(kind, name), body: value}
	if expect == 0 {
		req.ifNoneMatch = "*"
	} else {
		req.ifMatch = strconv.FormatUint(expect, 10)
	}
	ans, err := c.call(ctx, req)
	if err != nil {
		return 0, errors.Annotatef(err, "put %s/%s", kind, name)
	}
	version, err := ans.version()
	return version, errors.Annotatef(err, "put %s/%s", kind, name)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind, name string, expect uint64) error {
	_, err := c.call(ctx, request{
		method:  http.MethodDelete,
		path:    objectPath(kind, name),
		ifMatch: strconv.FormatUint(expect, 10),
	})
	return errors.Annotatef(err, "delete %s/%s", kind, name)
}

// Watch implements Store. It ends with an error when the platform says nothing
// for longer than WatchTimeout, since a silent connection looks like a platform
// where nothing changes.
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

// VMs implements Store.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var ans VMsJSON
	if err := c.callJSON(ctx, request{method: http.MethodGet, path: PathVMs}, &ans); err != nil {
		return nil, errors.Annotate(err, "list VMs")
	}
	return ans.VMs, nil
}

// request is one call, before it is sent.
type request struct {
	method      string
	path        string // escaped, with its query
	ifMatch     string
	ifNoneMatch string
	body        []byte
	limit       int64         // of the answer in bytes; 0 means maxListBytes
	timeout     time.Duration // 0 means CallTimeout
}

// answer is a successful answer, read whole.
type answer struct {
	header http.Header
	body   []byte
}

func (a answer) version() (uint64, error) {
	text := a.header.Get(HeaderVersion)
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil || v == 0 {
		return 0, errors.Errorf("object store: header %s is %q, want a positive number", HeaderVersion, text)
	}
	return v, nil
}

func (c *Client) callJSON(ctx context.Context, req request, into any) error {
	ans, err := c.call(ctx, req)
	if err != nil {
		return err
	}
	return errors.Annotate(json.Unmarshal(ans.body, into), "object store: malformed answer")
}

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

func (r request) httpRequest(ctx context.Context, base string) (*http.Request, error) {
	hreq, err := http.NewRequestWithContext(ctx, r.method, base+r.path, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if r.body != nil {
		// NopCloser hides the reader's type, so that GetBody stays nil.
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
	const shown = 200
	text := strings.TrimSpace(string(body[:min(len(body), shown)]))
	return errors.Errorf("object store: status %d: %s", resp.StatusCode, text)
}

func objectPath(kind, name string) string {
	return PathObjects + url.PathEscape(kind) + "/" + url.PathEscape(name)
}
