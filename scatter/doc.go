// Package scatter makes the decisions for a request: which leaf of each service it is sent to,
// directly or through another VM; when a second leaf is tried; when an answer is sufficient;
// and when the request fails. A leaf is a worker that runs the requests to a service.
//
// The package does no I/O and reads no clock: callers pass in events and the current time, and
// receive actions to carry out. Table holds what this VM knows of leafs and of other VMs.
// Query is one request in progress. Neither is safe for concurrent use: callers hold one lock
// around both.
//
// A request to a single service is a query with one shard whose answer is passed on. A
// gathered request has one shard for each service, and the answers of the shards are the parts of
// its answer. The request is answered with the parts received so far once waiting for more is not
// worthwhile.
package scatter
