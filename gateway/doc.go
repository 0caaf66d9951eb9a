// Package gateway serves the HTTP interface for callers: searches, browse pages and
// non-idempotent requests. docs/API.md describes it with examples.
package gateway
