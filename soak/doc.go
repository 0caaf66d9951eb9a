// Package soak holds a randomized test of the daemon on the users' platform, with real
// processes, a simulated store, simulated leafs, and external faults in several series
// that overlap. It checks the daemon's guarantees during the faults, from what callers
// and leafs observe.
//
//	go test ./soak                          # the fixed seeds, as CI does
//	SOAK_SEEDS=50 SOAK_FIRST=1000 go test -timeout 60m ./soak
//
// A seed that ever failed is added to fixedSeeds, with a comment on the cause.
package soak
