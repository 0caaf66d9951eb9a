// Package model plays a load against the decisions of many VMs in virtual time. Each VM has a
// scatter.Table of its own, and each request is a scatter.Query, as in the daemon. Leafs, the network
// and callers are modelled. One goroutine runs everything in the order of a virtual clock, so the
// same configuration and seed give the same result.
//
// Not modelled: processor time, connections, the store (VMs learn of changes of leafs after a lag),
// and callers' retries.
package model
