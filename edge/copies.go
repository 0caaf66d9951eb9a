package edge

import (
	"time"

	"github.com/bramleybarrow/bramleybarrow/quarantine"
)

// copies counts the requests and calls of each content that are open at this VM. It is guarded by Engine.mu.
type copies map[quarantine.Fingerprint]int

// begin counts a request of a content.
func (c copies) begin(content quarantine.Fingerprint) { c[content]++ }

// end ends what begin began.
func (c copies) end(content quarantine.Fingerprint) {
	if c[content]--; c[content] <= 0 {
		delete(c, content)
	}
}

// beginContent counts a request or call of a content as open. endContent has to be called when it has ended.
func (e *Engine) beginContent(content quarantine.Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies.begin(content)
}

// endContent ends what beginContent began.
func (e *Engine) endContent(content quarantine.Fingerprint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies.end(content)
}

// contentFields returns the log fields of what this VM knows of a content: how many requests of it are open
// here, and under how many leafs it was lost.
func (e *Engine) contentFields(content quarantine.Fingerprint) []any {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, _ := e.table.Guard().Notice(time.Now(), content)
	return []any{
		"content", content.String(),
		"copies", e.copies[content],
		"known_ended", known.Ends,
	}
}
