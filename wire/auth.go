package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/bramleybarrow/bramleybarrow/result"
)

const (
	nonceBytes = 16 // length in bytes of a nonce, before hex encoding
	keyIDBytes = 8  // length in bytes of a key id, before hex encoding
)

// Each proof covers the role of its sender, so that a proof cannot be sent back as the
// proof of the other end.
const (
	roleDialer   = "dialer"   // the end that opened the connection
	roleAcceptor = "acceptor" // the end that accepted it
)

// Hello is the first message of a connection. The dialer sends it.
type Hello struct {
	Versions []int    `json:"versions"`      // all protocol versions that the sender speaks
	From     Identity `json:"from"`          // of the sender
	Use      string   `json:"use,omitempty"` // Options.Use of the sender
	Nonce    string   `json:"nonce"`         // random bytes, in hex
	KeyIDs   []string `json:"key_ids"`       // of all keys that the sender holds, the newest first
}

// HelloAnswer is the acceptor's answer to a Hello.
type HelloAnswer struct {
	Version int      `json:"version"` // the protocol version that the acceptor chose
	From    Identity `json:"from"`    // of the acceptor
	Nonce   string   `json:"nonce"`   // random bytes, in hex
	KeyID   string   `json:"key_id"`  // of the key that the acceptor chose
}

// Proof shows that its sender holds the chosen key.
type Proof struct {
	Proof []byte `json:"proof"` // HMAC-SHA256; see computeProof
}

// newNonce returns a random nonce in hex. Each end contributes one to a hello, so that the
// proofs of one hello are invalid for any other.
func newNonce() string {
	buf := make([]byte, nonceBytes)
	rand.Read(buf) // never fails
	return hex.EncodeToString(buf)
}

// keyID returns the public id of a key: a part of a hash, in hex, which does not reveal the
// key.
func keyID(key []byte) string {
	sum := sha256.Sum256(append([]byte("bramleybarrow key id\n"), key...))
	return hex.EncodeToString(sum[:keyIDBytes])
}

// keyIDs returns the ids of keys, in the same order.
func keyIDs(keys [][]byte) []string {
	ids := make([]string, len(keys))
	for i, key := range keys {
		ids[i] = keyID(key)
	}
	return ids
}

// findKey returns the key with the given id, or nil if keys has none.
func findKey(keys [][]byte, id string) []byte {
	for _, key := range keys {
		if keyID(key) == id {
			return key
		}
	}
	return nil
}

// computeProof returns the proof of the end with the given role. It covers both messages
// of the hello, with both nonces and identities, so that it is valid for this hello only.
func computeProof(key []byte, role string, hello *Hello, answer *HelloAnswer) []byte {
	mac := hmac.New(sha256.New, key)
	enc := json.NewEncoder(mac)
	_ = enc.Encode(role) // writing to a hash never fails
	_ = enc.Encode(hello)
	_ = enc.Encode(answer)
	return mac.Sum(nil)
}

// answerHello validates a dialer's hello. It chooses the newest version that both ends
// speak, and the first of the dialer's keys that both ends hold. It returns the answer and
// that key.
func answerHello(o *Options, hello *Hello) (*HelloAnswer, []byte, error) {
	if hello.From.VM == "" || hello.From.Incarnation == "" || len(hello.Nonce) != 2*nonceBytes {
		return nil, nil, result.Errorf(result.BadHello, "vm, incarnation and a nonce of %d hex digits are needed", 2*nonceBytes)
	}
	if hello.From.Deployment != o.Self.Deployment {
		return nil, nil, result.Errorf(result.WrongFleet, "deployment %q found, want %q", hello.From.Deployment, o.Self.Deployment)
	}
	version := newestCommon(hello.Versions, o.MaxVersion)
	if version == 0 {
		return nil, nil, result.Errorf(result.WrongVersion, "versions %v found, want %v", hello.Versions, supportedVersions(o.MaxVersion))
	}
	for _, id := range hello.KeyIDs {
		if key := findKey(o.Keys, id); key != nil {
			return &HelloAnswer{Version: version, From: o.Self, Nonce: newNonce(), KeyID: id}, key, nil
		}
	}
	return nil, nil, result.Errorf(result.WrongKey, "no key in common")
}

// validateAnswer validates an acceptor's answer to this end's hello and returns the key that
// the acceptor chose.
func validateAnswer(o *Options, answer *HelloAnswer) ([]byte, error) {
	if answer.From.Deployment != o.Self.Deployment {
		return nil, result.Errorf(result.WrongFleet, "deployment %q found, want %q", answer.From.Deployment, o.Self.Deployment)
	}
	if newestCommon([]int{answer.Version}, o.MaxVersion) == 0 || answer.From.VM == "" || len(answer.Nonce) != 2*nonceBytes {
		return nil, result.Errorf(result.BadHello, "invalid answer to the hello: version %d, VM %q", answer.Version, answer.From.VM)
	}
	key := findKey(o.Keys, answer.KeyID)
	if key == nil {
		return nil, result.Errorf(result.WrongKey, "no key in common")
	}
	return key, nil
}

// supportedVersions returns all protocol versions from newest down to VersionJSON.
func supportedVersions(newest int) (list []int) {
	for v := newest; v >= VersionJSON; v-- {
		list = append(list, v)
	}
	return list
}

// newestCommon returns the newest of the offered versions that this end speaks, or 0 if it
// speaks none. It speaks the versions from VersionJSON up to limit.
func newestCommon(offered []int, limit int) int {
	best := 0
	for _, v := range offered {
		if v >= VersionJSON && v <= limit {
			best = max(best, v)
		}
	}
	return best
}
