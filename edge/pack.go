package edge

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// Lists of leafs and manifests are sent between VMs as compressed JSON. Without compression,
// a manifest of 1,900 routes that was sent to all VMs of a zone at once did not arrive within
// their timeout of 0.5 s, and callers were refused for two more seconds after a loss of all
// VMs. Packed, a manifest of that many routes is smaller than 50 kB
// (TestLargeManifestIsSentCompressed).

// maxUnpacked bounds the size of unpacked data, in bytes. It is several times the size of the
// largest value in the store, which is about 1 MB in another encoding.
const maxUnpacked = 16 << 20

// pack encodes v as JSON and compresses it.
func pack(v any) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// unpack decodes the output of pack. It returns a BadMessage error for invalid data.
func unpack(packed []byte, into any) error {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked)
	if err := json.NewDecoder(r).Decode(into); err != nil {
		return result.Wrap(result.BadMessage, err, "packed body")
	}
	return nil
}
