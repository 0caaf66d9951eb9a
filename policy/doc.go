// Package policy holds the decisions of the query tier: which snapshot a query
// reads, which replica each attempt goes to, when to hedge or retry, when an
// answer is good enough, what it covers, and which requests to refuse.
//
// Everything here is pure: events and the time go in, actions come out. There is
// no I/O, no goroutine, no global state and no clock; random choices come from a
// source that the caller seeds. Nothing here is safe for concurrent use: package
// query holds its lock around every call.
package policy
