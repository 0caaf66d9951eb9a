// Package leafhttp sends requests to leafs over HTTP/1.1, one at a time on each
// connection.
//
// It has its own connection pool because net/http's transport resends a request by
// itself when a reused connection turns out to be closed: a leaf could receive it
// twice, and a request that must run at most once could run twice. Framing and
// parsing are done by net/http.
package leafhttp
