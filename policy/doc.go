// Package policy makes the decisions of the query tier: which snapshot a query
// reads, which replica each attempt goes to, when to hedge or retry, when an
// answer has sufficient coverage, and which queries to refuse.
//
// The package is deterministic: callers pass in events and the current time and
// carry out the returned actions. It has no I/O, no goroutines, no global state
// and no clock; random choices come from a source that the caller seeds. Nothing
// here is safe for concurrent use: package query holds its lock around every call.
package policy
