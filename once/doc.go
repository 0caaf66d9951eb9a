// Package once runs non-idempotent requests at most once across all VMs.
//
// Before anything is handed to a target, the VM claims the request's key on
// the platform by a conditional update. Claims live in segments: one object
// holds all keys that callers made in one second. A conditional update of a
// segment carries many claims and outcomes at once (group commit), so the
// number of requests is not bound to the number of writes that the platform
// takes. docs/design/once.md has the reasons and the
// figures.
package once
