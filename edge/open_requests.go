package edge

import (
	"context"
	"sync/atomic"
	"time"
)

// requestStage says how far this VM has come with a caller's request.
type requestStage int32

// The stages, in order. A request is still at the last one after its handler has returned, until its
// answer is written.
const (
	stageHead   requestStage = iota // its header was read
	stageKey                        // its key is checked
	stageToken                      // its tenant's limit is checked
	stageBody                       // its body is read
	stageOffer                      // it is offered to another VM, or runs there
	stageSlot                       // a keeper of slots is asked
	stageLeaf                       // leafs and other VMs work on it
	stageAnswer                     // its answer is written
	requestStages
)

// requestStageNames are the values of the label and key stage.
var requestStageNames = [requestStages]string{"head", "key", "token", "body", "offer", "slot", "leaf", "answer"}

// openRequest is a caller's request that this VM has not answered.
type openRequest struct {
	id    string
	since time.Time    // when its header was read
	stage atomic.Int32 // a requestStage
	// bodyDue is set while the body, or its end, has not been read.
	bodyDue     atomic.Bool
	interrupted interruption // why this VM has ended the reading of the body; guarded by callerConn.mu
}

// beginRequest records that a request on the connection of ctx is served from now on. It returns false
// if this VM has closed the connection: the request must not run, since its answer could not be sent.
func beginRequest(ctx context.Context, id string, now time.Time, hasBody bool) bool {
	c := callerConnOf(ctx)
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.arriving = false
	req := &openRequest{id: id, since: now}
	req.bodyDue.Store(hasBody)
	c.request.Store(req)
	return true
}

// endRequest records that no request is served on the connection any more.
func (c *callerConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request.Store(nil)
}

// enterStage records how far the request on the connection of ctx has come. It does nothing for a
// request that another VM has handed over.
func enterStage(ctx context.Context, stage requestStage) {
	if c := callerConnOf(ctx); c != nil {
		if req := c.request.Load(); req != nil {
			req.stage.Store(int32(stage))
		}
	}
}
