package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/juju/errors"
)

// Fingerprint identifies the content of a request: what stays the same when a client sends it again
// with another id. The zero value stands for no content.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. target is its path and query. The tenant, empty
// if there is none, is part of it, so that no tenant's requests count against those of another.
func FingerprintOf(tenant, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	var length [binary.MaxVarintLen64]byte
	for _, field := range [][]byte{[]byte(tenant), []byte(method), []byte(host), []byte(target), body} {
		// The length in front keeps "ab","c" apart from "a","bc".
		h.Write(length[:binary.PutUvarint(length[:], uint64(len(field)))])
		h.Write(field)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// IsZero reports whether f stands for no content.
func (f Fingerprint) IsZero() bool { return f == Fingerprint{} }

// String returns f in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint is the inverse of Fingerprint.String.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	raw, err := hex.DecodeString(text)
	if err != nil {
		return f, errors.Annotate(err, "fingerprint")
	}
	if len(raw) != len(f) {
		return f, errors.Errorf("fingerprint of %d bytes instead of %d", len(raw), len(f))
	}
	copy(f[:], raw)
	return f, nil
}
