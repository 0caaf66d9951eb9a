package peer

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// packedFacts holds facts as compressed JSON. Compression pays because the facts of
// many targets repeat the names of snapshots and fields.
type packedFacts []byte

const (
	// minPackedFacts is the smallest number of facts for which packing saves bytes.
	minPackedFacts = 4
	// maxUnpackedBytes bounds the size in bytes of packed facts after decompression: it
	// is enough for maxDiffFacts of the largest facts, with 64 bytes more for each.
	maxUnpackedBytes = maxDiffFacts * (facts.MaxHealthBytes + 64)
)

// flateWriters reuses writers because each one allocates more than half a megabyte.
var flateWriters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed) // the level is valid
	return w
}}

// factPayload holds facts in one of two encodings: as plain JSON in Facts or compressed
// in Packed. The other field is empty.
type factPayload struct {
	Facts  []facts.Fact `json:"f,omitempty"`
	Packed packedFacts  `json:"p,omitempty"`
}

// encodeFacts encodes facts for a connection: packed, unless there are so few that
// packing saves nothing, or the peer's version doesn't support it.
func encodeFacts(conn *wire.Conn, list []facts.Fact) factPayload {
	if len(list) < minPackedFacts || conn.Version() < wire.VersionCBOR {
		return factPayload{Facts: list}
	}
	return factPayload{Packed: packFacts(list)}
}

// decode returns the facts from whichever field holds them. It returns an error if there
// are more than limit.
func (s factPayload) decode(limit int) ([]facts.Fact, error) {
	list := s.Facts
	if len(s.Packed) > 0 {
		var err error
		if list, err = s.Packed.unpack(); err != nil {
			return nil, err
		}
	}
	if len(list) > limit {
		return nil, result.Errorf(result.BadMessage, "%d facts in a message, at most %d allowed", len(list), limit)
	}
	return list, nil
}

// packFacts encodes facts as JSON and compresses them.
func packFacts(list []facts.Fact) packedFacts {
	var buf bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&buf)
	_ = json.NewEncoder(w).Encode(list) // facts always marshal, and writes to a buffer don't fail
	_ = w.Close()
	return buf.Bytes()
}

// unpack decompresses and decodes the facts. It returns an error if they exceed
// maxUnpackedBytes.
func (p packedFacts) unpack() ([]facts.Fact, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxUnpackedBytes+1))
	if err != nil {
		return nil, result.Wrap(result.BadMessage, err, "packed facts")
	}
	if len(data) > maxUnpackedBytes {
		return nil, result.Errorf(result.MessageTooBig, "packed facts of more than %d bytes after decompression", maxUnpackedBytes)
	}
	var list []facts.Fact
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, result.Wrap(result.BadMessage, err, "packed facts")
	}
	return list, nil
}
