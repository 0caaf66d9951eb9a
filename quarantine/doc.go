// Package quarantine keeps a request that ends the leafs which run it from ending more of them.
//
// A Fingerprint tells which requests have the same content, whatever their ids. A Guard counts the leafs
// that ended under each content, decides whether leafs get it, and exchanges Notices with the guards of
// other VMs. It is pure: events and the time in, decisions out.
package quarantine
