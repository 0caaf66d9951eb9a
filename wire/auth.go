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
	nonceBytes = 16
	keyIDBytes = 8
)

// The roles keep a proof of one end from being sent back as the other's.
const (
	roleDialer   = "dialer"
	roleAcceptor = "acceptor"
)

// Hello is the first message of a connection.
type Hello struct {
	Versions []int    `json:"versions"`
	From     Identity `json:"from"`
	Use      string   `json:"use,omitempty"`
	Nonce    string   `json:"nonce"`
	KeyIDs   []string `json:"key_ids"`
}

// HelloAnswer challenges the dialling end.
type HelloAnswer struct {
	Version int      `json:"version"`
	From    Identity `json:"from"`
	Nonce   string   `json:"nonce"`
	KeyID   string   `json:"key_id"`
}

// Proof shows that its sender holds the agreed key.
type Proof struct {
	Proof []byte `json:"proof"`
}

func newNonce() string {
	buf := make([]byte, nonceBytes)
	rand.Read(buf) // never fails
	return hex.EncodeToString(buf)
}

func keyID(key []byte) string {
	sum := sha256.Sum256(append([]byte("bramleybarrow key id\n"), key...))
	return hex.EncodeToString(sum[:keyIDBytes])
}

func keyIDs(keys [][]byte) []string {
	ids := make([]string, len(keys))
	for i, key := range keys {
		ids[i] = keyID(key)
	}
	return ids
}

func findKey(keys [][]byte, id string) []byte {
	for _, key := range keys {
		if keyID(key) == id {
			return key
		}
	}
	return nil
}

// computeProof returns the proof of one end. It covers both messages of the hello,
// with both nonces and identities, so that it is of no use in another hello.
func computeProof(key []byte, role string, hello *Hello, answer *HelloAnswer) []byte {
	mac := hmac.New(sha256.New, key)
	enc := json.NewEncoder(mac)
	_ = enc.Encode(role) // writing to a hash never fails
	_ = enc.Encode(hello)
	_ = enc.Encode(answer)
	return mac.Sum(nil)
}

// answerHello checks a hello and chooses version and key.
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

// validateAnswer checks what the accepting end chose and returns the agreed key.
func validateAnswer(o *Options, answer *HelloAnswer) ([]byte, error) {
	if answer.From.Deployment != o.Self.Deployment {
		return nil, result.Errorf(result.WrongFleet, "deployment %q found, want %q", answer.From.Deployment, o.Self.Deployment)
	}
	if newestCommon([]int{answer.Version}, o.MaxVersion) == 0 || answer.From.VM == "" || len(answer.Nonce) != 2*nonceBytes {
		return nil, result.Errorf(result.BadHello, "answer of version %d from VM %q", answer.Version, answer.From.VM)
	}
	key := findKey(o.Keys, answer.KeyID)
	if key == nil {
		return nil, result.Errorf(result.WrongKey, "no key in common")
	}
	return key, nil
}

// supportedVersions lists what an end speaks, the newest first.
func supportedVersions(newest int) (list []int) {
	for v := newest; v >= VersionJSON; v-- {
		list = append(list, v)
	}
	return list
}

// newestCommon returns the newestCommon of the offered versions that an end speaks, or 0.
func newestCommon(offered []int, limit int) int {
	best := 0
	for _, v := range offered {
		if v >= VersionJSON && v <= limit {
			best = max(best, v)
		}
	}
	return best
}
