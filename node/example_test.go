package node_test

import (
	"context"
	"fmt"

	"github.com/bramleybarrow/bramleybarrow/logging"
	"github.com/bramleybarrow/bramleybarrow/node"
	"github.com/bramleybarrow/bramleybarrow/settings"
)

// A program that embeds the daemon reads the settings, creates a node and runs it until
// its context ends.
func Example() {
	cfg, err := settings.Parse([]byte(`{
		"name": "vm-1", "deployment": "vatnsleit", "zone": "reykjanes",
		"listen": {"callers": "127.0.0.1:0", "ops": "127.0.0.1:0", "peers": "127.0.0.1:0"},
		"platform": {"address": "127.0.0.1:1"},
		"operator_keys": [{"id": "ana-1", "person": "ana", "public": "MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE="}],
		"fleet_keys": ["MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE="],
		"log": {"level": "error", "json": false},
		"lame_duck_ms": 0
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	n, err := node.New(cfg, logging.Discard())
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	stop() // immediately, so that the example ends
	fmt.Println("ended:", n.Run(ctx))
	// Output: ended: <nil>
}
