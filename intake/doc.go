// Package intake accounts for what callers make a VM hold: the memory of their connections, of requests that
// arrive or run, of copies of these, and of answers that are sent. It decides which connections give way when
// that would exceed the limits.
//
// Each connection costs the bytes that it holds for as long as it holds them without being served. Under
// pressure the one that has cost most gives way. So a request that has just begun to arrive precedes one that
// has stopped, whatever the size of either. A request that runs never gives way.
//
// The package is pure: the caller passes events and times in, and closes the connections that it is told. The
// types are not safe for concurrent use.
package intake
