// Package quarantine keeps a request that ends the leafs that run it from ending more of them.
//
// A fingerprint tells which requests have the same content, whatever their ids.
package quarantine
