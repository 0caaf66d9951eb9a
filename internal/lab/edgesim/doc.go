// Package edgesim simulates the users' platform for tests: its metadata store and its leafs, with
// fault injection in both. Store and leafs use the platform's HTTP interface.
package edgesim
