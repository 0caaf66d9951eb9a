// Package edgesim simulates the users' platform for tests: its metadata store and its leafs, with
// fault injection in both. They use the platform's wire format.
package edgesim
