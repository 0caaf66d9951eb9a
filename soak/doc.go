// Package soak holds a randomized test of the daemon on the users' platform. Daemons run
// as real processes, with a simulated store and simulated leafs. Several concurrent series
// of faults affect the VMs, the leafs and the store. The test checks the daemon's
// guarantees during the faults, from what callers and leafs observe. Runs with tenants also
// change keys and limits, and switch room on with some seeds.
//
//	go test ./soak                          # the fixed seeds, as CI does
//	SOAK_SEEDS=50 SOAK_FIRST=1000 go test -timeout 60m ./soak   # the 50 seeds from 1000
//	SOAK_SEEDS=50 SOAK_FIRST=1000 go test -timeout 60m -run TestSoak/tenants ./soak   # with tenants only
//	SOAK_SEEDS=50 SOAK_FIRST=1000 go test -timeout 60m -parallel 4 -run TestSoak/stops ./soak # stops, four seeds at once
//	SOAK_SEEDS=50 SOAK_FIRST=1000 go test -timeout 60m -run TestSoak/starts ./soak # stops of processes that start
//	SOAK_SEEDS=50 SOAK_FIRST=1000 go test -timeout 60m -parallel 3 -run TestSoak/cuts ./soak # VMs cut off and frozen, three seeds at once
//	SOAK_SEEDS=50 SOAK_FIRST=1000 go test -timeout 60m -run TestSoak/crowds ./soak # clients that hold memory and connections
//	go test -run TestCrowd ./soak           # crowds of such clients alone, with nothing beside them
//	SOAK_BINARY=/path/of/bramleyd go test -run TestSoak ./soak  # another build of the daemon in place of the current one
//
// A seed that ever failed is added to the fixed seeds of its kind, with a comment on the cause.
package soak
