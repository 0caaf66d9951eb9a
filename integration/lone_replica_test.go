package integration

import (
	"testing"

	"github.com/bramleybarrow/bramleybarrow/bundle"
)

// The only replica of a shard is reached through an owner, and that VM is killed in the
// middle of queries. Without a second owner the shard would be missing from answers for
// some seconds, until the first owner counts as lost, although the target is healthy and
// another VM has a connection to it. With one replica no hedge to another target can
// compensate, so every search must be answered completely through the second owner.
func TestOwnerOfALoneReplicaKilledInMidQuery(t *testing.T) {
	t.Parallel()                      // it mostly waits
	const daemons, connections = 5, 3 // two owners of each target
	cfg := fewConnections(daemons, daemons, connections)
	cfg.Replicas = 1
	editBundle := cfg.Bundle
	cfg.Bundle = func(b *bundle.Bundle) {
		editBundle(b)
		b.Searches[0].Retry.Budget = 1 // the attempts at all shards of a target fail at the same time
	}
	c := start(t, cfg)
	c.killOwners()
	c.expectWithinLimit(connections)
}
