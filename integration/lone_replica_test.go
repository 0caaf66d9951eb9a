package integration

import (
	"testing"

	"github.com/bramleybarrow/bramleybarrow/bundle"
)

// The only replica of a shard is reached through an owner, and that VM is killed
// in mid-query. A user would lose the shard until the owner counts as lost, some
// seconds, though the target is well and another VM has a connection to it. No
// hedge to another target can hide that here; each search must be answered whole
// by way of the second owner.
func TestOwnerOfALoneReplicaKilledInMidQuery(t *testing.T) {
	t.Parallel()                      // it waits for most of its time
	const daemons, connections = 5, 3 // two owners of each target
	s := fewConnections(daemons, daemons, connections)
	s.Replicas = 1
	editBundle := s.Bundle
	s.Bundle = func(b *bundle.Bundle) {
		editBundle(b)
		b.Searches[0].Retry.Budget = 1 // all shards of a target lose their attempts at once
	}
	c := start(t, s)
	c.killOwners()
	c.expectWithinLimit(connections)
}
