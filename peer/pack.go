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

// packedFacts are facts as compressed JSON. Facts of many targets repeat names of
// snapshots and fields.
type packedFacts []byte

const (
	// minPackedFacts is the number of facts from which packing saves anything.
	minPackedFacts = 4
	// maxUnpackedBytes bounds packed facts after decompression.
	maxUnpackedBytes = maxDiffFacts * (facts.MaxHealthBytes + 64)
)

// flateWriters are kept because each takes more than half a megabyte to make.
var flateWriters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed) // the level is valid
	return w
}}

// factPayload are facts in one of two forms.
type factPayload struct {
	Facts  []facts.Fact `json:"f,omitempty"`
	Packed packedFacts  `json:"p,omitempty"`
}

// encodeFacts gives facts the form for a connection: packed, unless there are so few that
// it saves nothing or the peer is of a version that doesn't know it.
func encodeFacts(conn *wire.Conn, list []facts.Fact) factPayload {
	if len(list) < minPackedFacts || conn.Version() < wire.VersionCBOR {
		return factPayload{Facts: list}
	}
	return factPayload{Packed: packFacts(list)}
}

// decode returns the facts, of which there may be that many.
func (s factPayload) decode(most int) ([]facts.Fact, error) {
	list := s.Facts
	if len(s.Packed) > 0 {
		var err error
		if list, err = s.Packed.unpack(); err != nil {
			return nil, err
		}
	}
	if len(list) > most {
		return nil, result.Errorf(result.BadMessage, "%d facts, at most %d", len(list), most)
	}
	return list, nil
}

func packFacts(list []facts.Fact) packedFacts {
	var buf bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&buf)
	_ = json.NewEncoder(w).Encode(list) // facts always marshal, and a buffer takes all
	_ = w.Close()
	return buf.Bytes()
}

func (p packedFacts) unpack() ([]facts.Fact, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxUnpackedBytes+1))
	if err != nil {
		return nil, result.Wrap(result.BadMessage, err, "packed facts")
	}
	if len(data) > maxUnpackedBytes {
		return nil, result.Errorf(result.MessageTooBig, "facts of more than %d bytes", maxUnpackedBytes)
	}
	var list []facts.Fact
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, result.Wrap(result.BadMessage, err, "packed facts")
	}
	return list, nil
}
