package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"goji.io"
	"goji.io/pat"

	"github.com/bramleybarrow/bramleybarrow/quarantine"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/scatter"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// methodQuarantine is the method of a quarantineMessage, a notification with a body in CBOR.
const methodQuarantine = "quarantine"

// Parameters of what VMs tell each other of contents that end leafs.
const (
	// maxQuarantineNotices bounds the notices of one message.
	maxQuarantineNotices = 64
	// quarantineTellPause is the pause after a message to other VMs that no request waits for. Notices
	// of the meantime go together.
	quarantineTellPause = 20 * time.Millisecond
	// quarantineAckTime bounds the wait until other VMs have acknowledged a message. A failed request
	// waits for it, since its client may turn to one of them at once.
	quarantineAckTime = 50 * time.Millisecond
	// maxDirectlyTold is the number of other VMs up to which each is told directly. In a larger fleet,
	// those are told to which there is a connection; they pass news on.
	maxDirectlyTold = 16
)

// quarantineMessage tells another VM of contents that end leafs.
type quarantineMessage struct {
	Notices []quarantineNotice `cbor:"1,keyasint"`
}

// quarantineNotice is a quarantine.Notice on the wire.
type quarantineNotice struct {
	Content     []byte   `cbor:"1,keyasint"`
	Epoch       uint64   `cbor:"2,keyasint"`
	Cleared     bool     `cbor:"3,keyasint,omitempty"`
	Answered    bool     `cbor:"4,keyasint,omitempty"`
	Ended       []string `cbor:"5,keyasint,omitempty"`
	Ends        int      `cbor:"6,keyasint,omitempty"`
	Quarantines int      `cbor:"7,keyasint,omitempty"`
	RemainingMS int64    `cbor:"8,keyasint,omitempty"`
	ByTrial     bool     `cbor:"9,keyasint,omitempty"`
	Served      bool     `cbor:"10,keyasint,omitempty"`
	// Silent holds the leafs that have given no answer. A VM of an earlier release does not know them.
	Silent []silenceNotice `cbor:"11,keyasint,omitempty"`
}

// silenceNotice is a quarantine.Silence on the wire.
type silenceNotice struct {
	Leaf    string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	AgeMS   int64  `cbor:"3,keyasint"` // time since a VM has first recorded it; negative if an answer shows something only from then on
	Expired bool   `cbor:"4,keyasint,omitempty"`
}

// maxSilences bounds the silent leafs of one notice.
const maxSilences = 16

// toSilenceNotices converts silences to their form on the wire.
func toSilenceNotices(now time.Time, list []quarantine.Silence) []silenceNotice {
	var notices []silenceNotice
	for _, s := range list[:min(len(list), maxSilences)] {
		notices = append(notices, silenceNotice{Leaf: s.Leaf, Zone: s.Zone, AgeMS: now.Sub(s.Since).Milliseconds(), Expired: s.Expired})
	}
	return notices
}

// decodeSilences is the inverse of toSilenceNotices.
func decodeSilences(now time.Time, notices []silenceNotice) []quarantine.Silence {
	var list []quarantine.Silence
	for _, n := range notices[:min(len(notices), maxSilences)] {
		since := now.Add(-time.Duration(n.AgeMS) * time.Millisecond)
		list = append(list, quarantine.Silence{Leaf: n.Leaf, Zone: n.Zone, SentAt: since, Since: since, Expired: n.Expired})
	}
	return list
}

// toQuarantineNotices converts notices to their form on the wire.
func toQuarantineNotices(now time.Time, list []quarantine.Notice) []quarantineNotice {
	notices := make([]quarantineNotice, len(list))
	for i, n := range list {
		notices[i] = quarantineNotice{
			Content: n.Content[:], Epoch: n.Epoch, Cleared: n.Cleared, Answered: n.Answered, Ended: n.Ended, Ends: n.Ends,
			Quarantines: n.Quarantines, RemainingMS: n.Remaining.Milliseconds(), ByTrial: n.ByTrial, Served: n.Served,
			Silent: toSilenceNotices(now, n.Silent),
		}
	}
	return notices
}

// decode is the inverse of toQuarantineNotices. It reports whether the notice names a content.
func (n *quarantineNotice) decode(now time.Time) (quarantine.Notice, bool) {
	notice := quarantine.Notice{
		Epoch: n.Epoch, Cleared: n.Cleared, Answered: n.Answered, Ended: n.Ended, Ends: n.Ends,
		Quarantines: n.Quarantines, Remaining: time.Duration(n.RemainingMS) * time.Millisecond, ByTrial: n.ByTrial, Served: n.Served,
		Silent: decodeSilences(now, n.Silent),
	}
	return notice, copy(notice.Content[:], n.Content) == len(notice.Content) && len(n.Content) == len(notice.Content)
}

// quarantineNoticesOf returns what this VM knows of a content, nil if that is nothing.
func (e *Engine) quarantineNoticesOf(content quarantine.Fingerprint) []quarantineNotice {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	n, known := e.table.Guard().Notice(now, content)
	if !known {
		return nil
	}
	return toQuarantineNotices(now, []quarantine.Notice{n})
}

// knowsContent reports whether anything is known of a content.
func (e *Engine) knowsContent(content quarantine.Fingerprint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Guard().Knows(content)
}

// quarantinedContents returns notices of the contents that are quarantined.
func (e *Engine) quarantinedContents() []quarantineNotice {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	return toQuarantineNotices(now, e.table.Guard().Quarantined(now, maxQuarantineNotices))
}

// serveQuarantine serves a quarantineMessage of the named VM.
func (e *Engine) serveQuarantine(vm string, body []byte) error {
	var msg quarantineMessage
	if err := cbor.Unmarshal(body, &msg); err != nil {
		return result.Wrap(result.BadMessage, err, "body")
	}
	if len(msg.Notices) > maxQuarantineNotices {
		return result.Errorf(result.BadMessage, "%d notices", len(msg.Notices))
	}
	e.hearQuarantine(vm, msg.Notices)
	return nil
}

// hearQuarantine records what another VM has told of contents that end leafs.
func (e *Engine) hearQuarantine(vm string, notices []quarantineNotice) {
	if len(notices) == 0 {
		return
	}
	var news []quarantine.Notice
	e.mu.Lock()
	now := time.Now()
	guard := e.table.Guard()
	for i := range notices {
		n, valid := notices[i].decode(now)
		if valid && guard.Merge(now, n) {
			news = append(news, n)
		}
	}
	due := guard.HasNews()
	e.mu.Unlock()
	e.quarantineNews.notifyIf(due)
	for _, n := range news {
		e.logQuarantine("told of a content that ends leafs", n, "vm", vm)
	}
}

// logQuarantine logs what is known of a content.
func (e *Engine) logQuarantine(msg string, n quarantine.Notice, fields ...any) {
	level := slog.LevelWarn
	if n.Ends == 0 && n.Remaining == 0 {
		level = slog.LevelInfo // mostly leafs that are slow
	}
	e.log.Log(context.Background(), level, msg, append([]any{
		"content", n.Content.String(),
		"ended", n.Ends,
		"silent", len(n.Silent),
		"leafs", n.Ended,
		"answered", n.Answered,
		"cleared", n.Cleared,
		"for_ms", n.Remaining.Milliseconds(),
		"quarantines", n.Quarantines,
	}, fields...)...)
}

// tellQuarantineNews tells other VMs what the guard learns, until ctx ends.
func (e *Engine) tellQuarantineNews(ctx context.Context) {
	for {
		select {
		case <-e.quarantineNews:
		case <-ctx.Done():
			return
		}
		e.tellQuarantine(ctx, quarantineAckTime)
		sleep(ctx, quarantineTellPause)
	}
}

// tellQuarantine tells other VMs what the guard has learned, and returns when they have recorded it, or
// after wait.
func (e *Engine) tellQuarantine(ctx context.Context, wait time.Duration) {
	e.quarantineTelling.Lock() // news that another call has taken is told when it returns
	defer e.quarantineTelling.Unlock()
	e.mu.Lock()
	news := e.table.Guard().TakeNews(time.Now(), maxQuarantineNotices)
	e.quarantineNews.notifyIf(e.table.Guard().HasNews())
	all := e.table.VMs()
	client := e.peerClient
	e.mu.Unlock()
	if len(news) == 0 {
		return
	}
	for _, n := range news {
		e.logQuarantine("content that ends leafs", n)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	client.tellQuarantine(ctx, all, toQuarantineNotices(time.Now(), news))
}

// tellQuarantine implements peerClient.
func (p *peerTransport) tellQuarantine(ctx context.Context, all []scatter.VM, notices []quarantineNotice) {
	body, err := cbor.Marshal(&quarantineMessage{Notices: notices})
	if err != nil {
		p.log.Error("encoding notices of contents that end leafs failed", "error", err)
		return
	}
	var told sync.WaitGroup
	if len(all) > maxDirectlyTold {
		for _, conn := range p.openConns() {
			told.Go(func() { p.callQuarantine(ctx, conn, body) })
		}
	} else {
		for _, vm := range all {
			told.Go(func() { p.callQuarantineOf(ctx, vm, body) })
		}
	}
	done := make(chan struct{})
	go func() {
		told.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done(): // opening a connection may take longer
	}
}

// callQuarantineOf tells a VM of contents that end leafs. A connection is opened if there is none. A VM
// that can't be reached is told when there is a connection to it.
func (p *peerTransport) callQuarantineOf(ctx context.Context, vm scatter.VM, body []byte) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerDialTimeout)
	defer cancel()
	if conn, err := p.link(vm).ensureConn(ctx, vm, p); err == nil {
		p.callQuarantine(ctx, conn, body)
	}
}

// callQuarantine sends a quarantineMessage on a connection, and waits until it is acknowledged.
func (p *peerTransport) callQuarantine(ctx context.Context, conn *wire.Conn, body []byte) {
	if err := conn.CallBody(ctx, methodQuarantine, body); err != nil {
		p.log.Debug("telling a VM of contents that end leafs failed", "vm", conn.Peer().VM, "error", err)
	}
}

// sendQuarantine sends notices on a connection, unless there are none.
func (p *peerTransport) sendQuarantine(conn *wire.Conn, notices []quarantineNotice) {
	if len(notices) == 0 {
		return
	}
	body, err := cbor.Marshal(&quarantineMessage{Notices: notices})
	if err == nil {
		err = conn.NotifyBody(methodQuarantine, body)
	}
	if err != nil {
		p.log.Debug("telling a VM of contents that end leafs failed", "vm", conn.Peer().VM, "error", err)
	}
}

// tellQuarantine implements peerClient. It tells nobody.
func (noPeerClient) tellQuarantine(context.Context, []scatter.VM, []quarantineNotice) {}

// writeQuarantineMetrics writes the metrics of contents that end leafs.
func (e *Engine) writeQuarantineMetrics(w io.Writer) {
	e.mu.Lock()
	suspect, quarantined := e.table.Guard().Sizes(time.Now())
	counts := e.table.Guard().Counts()
	e.mu.Unlock()
	fmt.Fprintf(w, "bramley_edge_suspect_contents %d\n", suspect)
	fmt.Fprintf(w, "bramley_edge_quarantined_contents %d\n", quarantined)
	fmt.Fprintf(w, "bramley_edge_leafs_ended_total %d\n", counts.Ended)
	fmt.Fprintf(w, "bramley_edge_quarantines_total %d\n", counts.Quarantines)
	fmt.Fprintf(w, "bramley_edge_quarantines_cleared_total %d\n", counts.Cleared)
	fmt.Fprintf(w, "bramley_edge_quarantine_trials_total %d\n", counts.Trials)
}

// handleQuarantine adds the operators' paths for quarantined contents to mux: GET lists those that are
// suspect, DELETE lifts the quarantine of one at all VMs.
func (e *Engine) handleQuarantine(mux *goji.Mux) {
	mux.HandleFunc(pat.Get("/quarantine"), func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		contents := e.table.Guard().Contents(time.Now())
		e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		// An error means that the operator has disconnected.
		_ = json.NewEncoder(w).Encode(contents)
	})
	mux.HandleFunc(pat.Delete("/quarantine/:content"), func(w http.ResponseWriter, r *http.Request) {
		content, err := quarantine.ParseFingerprint(pat.Param(r, "content"))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !e.liftQuarantine(content) {
			http.Error(w, "the content is not suspect", http.StatusNotFound)
			return
		}
		e.log.Warn("quarantine lifted by an operator", "content", content.String(), "from", r.RemoteAddr)
		w.WriteHeader(http.StatusNoContent)
	})
}

// liftQuarantine ends the suspicion of a content, and reports whether it was suspect.
func (e *Engine) liftQuarantine(content quarantine.Fingerprint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	lifted := e.table.Guard().Lift(time.Now(), content)
	e.quarantineNews.notifyIf(lifted)
	return lifted
}
