package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"sort"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// PublicKey is a person's Ed25519 public key. A signature by a retired key still
// proves who wrote a bundle or made an earlier change, but VMs accept no head and no
// sign-off signed with it. A person may have several keys; two of them are active
// during a rotation.
type PublicKey struct {
	ID      string `json:"id"`                // unique in a Keyring; signatures name it
	Person  string `json:"person"`            // name of the key's owner
	Public  string `json:"public"`            // the key's bytes in base64
	Retired bool   `json:"retired,omitempty"` // no longer accepted on heads and sign-offs
}

// PrivateKey is a person's Ed25519 private key, which signs bundles, sign-offs and
// changes.
type PrivateKey struct {
	ID     string `json:"id"`     // as in the PublicKey
	Person string `json:"person"` // name of the key's owner
	Seed   []byte `json:"seed"`   // ed25519.SeedSize bytes, from which the Ed25519 key is derived
}

// NewPrivateKey generates a key from the system's random source.
func NewPrivateKey(id, person string) (*PrivateKey, error) {
	seed := make([]byte, ed25519.SeedSize)
	if _, err := rand.Read(seed); err != nil {
		return nil, err
	}
	return &PrivateKey{ID: id, Person: person, Seed: seed}, nil
}

// Public returns the public key of k in the form that a settings file lists.
func (k *PrivateKey) Public() PublicKey {
	pub := ed25519.NewKeyFromSeed(k.Seed).Public().(ed25519.PublicKey)
	return PublicKey{ID: k.ID, Person: k.Person, Public: base64.StdEncoding.EncodeToString(pub)}
}

// Keyring holds the trusted public keys, active and retired. It is immutable.
type Keyring struct {
	keys map[string]ringKey // by key id
}

// ringKey is a public key of a Keyring with its decoded bytes.
type ringKey struct {
	PublicKey
	bytes ed25519.PublicKey // PublicKey.Public, decoded
}

// NewKeyring checks the keys and returns a keyring of them. Its errors have code
// BadSettings.
func NewKeyring(keys ...PublicKey) (*Keyring, error) {
	ring := &Keyring{keys: make(map[string]ringKey, len(keys))}
	for i, k := range keys {
		raw, err := base64.StdEncoding.DecodeString(k.Public)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			return nil, result.Errorf(result.BadSettings,
				"operator_keys[%d].public: found %q, allowed is a base64 Ed25519 public key", i, k.Public)
		}
		if !namePattern.MatchString(k.ID) || !namePattern.MatchString(k.Person) {
			return nil, result.Errorf(result.BadSettings,
				"operator_keys[%d]: found id %q and person %q, allowed is %s", i, k.ID, k.Person, nameRule)
		}
		if _, duplicate := ring.keys[k.ID]; duplicate {
			return nil, result.Errorf(result.BadSettings, "operator_keys[%d].id: found %q twice, allowed is once", i, k.ID)
		}
		ring.keys[k.ID] = ringKey{PublicKey: k, bytes: raw}
	}
	return ring, nil
}

// Keys returns the keys of the ring, active and retired, in the order of their IDs.
func (r *Keyring) Keys() []PublicKey {
	list := make([]PublicKey, 0, len(r.keys))
	for _, k := range r.keys {
		list = append(list, k.PublicKey)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Check validates a key that was read from a file: its id, person and seed length.
// Its errors have code BadSettings.
func (k *PrivateKey) Check() error {
	if !namePattern.MatchString(k.ID) || !namePattern.MatchString(k.Person) {
		return result.Errorf(result.BadSettings, "private key: found id %q and person %q, allowed is %s", k.ID, k.Person, nameRule)
	}
	if len(k.Seed) != ed25519.SeedSize {
		return result.Errorf(result.BadSettings, "private key %s: found a seed of %d bytes, allowed are %d", k.ID, len(k.Seed), ed25519.SeedSize)
	}
	return nil
}
