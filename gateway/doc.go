// Package gateway is the callers' HTTP interface: searches, browse pages and
// non-idempotent requests. docs/API.md describes it with examples.
package gateway
