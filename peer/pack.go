package peer

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/bramleybarrow/bramleybarrow/peer/facts"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// packedFacts are facts as compressed JSON. Facts of many targets repeat names of
// snapshots and fields; an index switch over all targets is told in a quarter of
// the bytes.
type packedFacts []byte

const (
	// packFrom is the number of facts from which packing saves anything.
	packFrom = 4
	// maxUnpacked bounds packed facts after decompression.
	maxUnpacked = maxDiffFacts * (facts.MaxHealthBytes + 64)
)

// writers are kept because each takes more than half a megabyte to make.
var writers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed) // the level is valid
	return w
}}

func packFacts(list []facts.Fact) (packedFacts, error) {
	if len(list) == 0 {
		return nil, nil
	}
	var buf bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&buf)
	if err := json.NewEncoder(w).Encode(list); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// unpack returns the facts, of which there may be that many.
func (p packedFacts) unpack(most int) ([]facts.Fact, error) {
	if len(p) == 0 {
		return nil, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p)), maxUnpacked+1))
	if err != nil {
		return nil, result.Wrap(result.BadMessage, err, "packed facts")
	}
	if len(data) > maxUnpacked {
		return nil, result.Errorf(result.MessageTooBig, "facts of more than %d bytes", maxUnpacked)
	}
	var list []facts.Fact
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, result.Wrap(result.BadMessage, err, "packed facts")
	}
	return list, checkCount(list, most)
}

func checkCount(list []facts.Fact, most int) error {
	if len(list) > most {
		return result.Errorf(result.BadMessage, "%d facts, at most %d", len(list), most)
	}
	return nil
}

// facts returns the facts of either form.
func (m *tellMessage) facts() ([]facts.Fact, error) {
	if len(m.Packed) > 0 {
		return m.Packed.unpack(maxFacts)
	}
	return m.Facts, checkCount(m.Facts, maxFacts)
}
