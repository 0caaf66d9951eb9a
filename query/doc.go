// Package query carries out the decisions of package policy: it sends attempts
// to targets through a pool of workers, passes answers and failures to the policy,
// and merges the answers.
//
// Lock order: Engine.mu before service.mu. Neither is held during I/O or while
// waiting on a channel.
package query
