// Package once runs non-idempotent requests at most once across all VMs.
//
// Before a request is handed to a target, the VM claims the request's key by a
// conditional update on the platform. Claims are stored in segments: one object
// holds all keys that callers created within one second. One conditional update of
// a segment carries many claims and outcomes (group commit), so the rate of
// requests is not limited by the number of writes that the platform accepts. See
// docs/design/once.md for the reasons and the figures.
package once
