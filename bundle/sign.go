package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/bramleybarrow/bramleybarrow/internal/strictjson"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// Purpose says what a signature confirms. It is part of the signed message, so that a
// signature made for one purpose is invalid for any other.
type Purpose string

// The purposes of signatures.
const (
	PurposeBundle  Purpose = "bundle"   // the signer wrote this bundle
	PurposeSignOff Purpose = "sign-off" // the signer, another person than the author, approves the bundle
	PurposeEntry   Purpose = "entry"    // the signer, an operator, made the change in this entry of the audit chain
	PurposeRefusal Purpose = "refusal"  // the signer, an operator, requested a change that was refused
)

// signatureDomain is the text at the start of every signed message, so that a
// signature made by the same key for another system is invalid here.
const signatureDomain = "bramleybarrow 1 "

// Signed is a payload with its signature. The payload is encoded as base64, so
// that no store or codec in between can reformat the signed bytes.
type Signed struct {
	Purpose   Purpose `json:"purpose"`
	Key       string  `json:"key"`       // id of the signing key
	Payload   []byte  `json:"payload"`   // the signed bytes: a bundle, or the JSON of a sign-off, entry or refusal
	Signature []byte  `json:"signature"` // Ed25519 signature of signedMessage(Purpose, Payload)
}

// Sign returns payload with a signature by key that is valid for one purpose.
func Sign(purpose Purpose, payload []byte, key *PrivateKey) Signed {
	private := ed25519.NewKeyFromSeed(key.Seed)
	return Signed{
		Purpose:   purpose,
		Key:       key.ID,
		Payload:   payload,
		Signature: ed25519.Sign(private, signedMessage(purpose, payload)),
	}
}

// signedMessage returns the bytes that are signed: signatureDomain and the purpose in
// one line, then the payload.
func signedMessage(purpose Purpose, payload []byte) []byte {
	message := []byte(signatureDomain + string(purpose) + "\n")
	return append(message, payload...)
}

// ParseSigned decodes the JSON form of a signed object. It does not verify the
// signature.
func ParseSigned(raw []byte) (Signed, error) {
	var s Signed
	if len(raw) > objstore.MaxValue {
		return s, result.Errorf(result.BundleTooLarge, "signed object: found %d bytes, allowed are %d", len(raw), objstore.MaxValue)
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return s, result.Wrap(result.NotSigned, err, "not a signed object")
	}
	return s, nil
}

// Bytes returns the JSON form of the signed object, as it is stored.
func (s Signed) Bytes() []byte {
	raw, err := json.Marshal(s)
	if err != nil {
		panic(err) // strings and bytes always encode
	}
	return raw
}

// Hash returns the SHA-256 hash, in hex, of the signed message and the signature.
// It does not depend on the JSON formatting.
func (s Signed) Hash() string {
	sum := sha256.New()
	sum.Write(signedMessage(s.Purpose, s.Payload))
	sum.Write(s.Signature)
	return hex.EncodeToString(sum.Sum(nil))
}

// Verify checks that s is signed for the given purpose by an active key of the
// keyring, and returns the key. Its errors have code UnknownKey if the key is retired
// or not in the keyring, else NotSigned.
func (r *Keyring) Verify(s Signed, purpose Purpose) (PublicKey, error) {
	key, err := r.VerifyWithRetired(s, purpose)
	if err != nil {
		return key, err
	}
	if key.Retired {
		return key, result.Errorf(result.UnknownKey, "%s by key %q, which is retired; sign with an active key", purpose, s.Key)
	}
	return key, nil
}

// VerifyWithRetired is like Verify, but also accepts retired keys, for objects
// that were signed in the past.
func (r *Keyring) VerifyWithRetired(s Signed, purpose Purpose) (PublicKey, error) {
	if s.Purpose != purpose {
		return PublicKey{}, result.Errorf(result.NotSigned, "found a signature for %q, allowed is %q", s.Purpose, purpose)
	}
	key, ok := r.keys[s.Key]
	if !ok {
		return PublicKey{}, result.Errorf(result.UnknownKey, "%s by key %q, which the settings do not list", purpose, s.Key)
	}
	if !ed25519.Verify(key.bytes, signedMessage(s.Purpose, s.Payload), s.Signature) {
		return PublicKey{}, result.Errorf(result.NotSigned, "the signature of key %q does not match the %s", s.Key, purpose)
	}
	return key.PublicKey, nil
}

// Digest returns the SHA-256 digest in hex that identifies a bundle's bytes.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// SignOff is the approval of a bundle by a person other than its author.
type SignOff struct {
	Deployment string    `json:"deployment"`
	Digest     string    `json:"digest"` // of the approved bundle
	Person     string    `json:"person"` // who approves the bundle
	After      uint64    `json:"after"`  // revision in force when the sign-off was signed; a recall of the bundle in a later revision invalidates it
	At         time.Time `json:"at"`     // when the sign-off was signed, by the person's clock
	Reason     string    `json:"reason"` // why the person approves the bundle
}

// Sign returns the sign-off as an object signed with the person's key.
func (o SignOff) Sign(key *PrivateKey) Signed {
	payload, err := json.Marshal(o)
	if err != nil {
		panic(err) // strings, numbers and times always encode
	}
	return Sign(PurposeSignOff, payload, key)
}

// OpenSignOff verifies a sign-off and returns its content. The key has to be
// active and belong to the person that the sign-off names.
func (r *Keyring) OpenSignOff(s Signed) (SignOff, error) {
	var o SignOff
	key, err := r.Verify(s, PurposeSignOff)
	if err != nil {
		return o, err
	}
	if err := json.Unmarshal(s.Payload, &o); err != nil {
		return o, result.Wrap(result.NotSigned, err, "decoding the sign-off")
	}
	if o.Person != key.Person {
		return o, result.Errorf(result.NotSigned, "key %q belongs to %s, the sign-off names %q", s.Key, key.Person, o.Person)
	}
	return o, nil
}

// maxEnvelopeBytes is the number of bytes that are reserved for the purpose, key id
// and signature in the JSON of a signed object, in addition to its payload.
const maxEnvelopeBytes = 1 << 10

// MaxBytes is the size of the largest bundle, in bytes as the author wrote it. Such
// a bundle still fits into one value of the platform when it is signed and encoded
// as base64, which turns each 3 into 4 bytes.
const MaxBytes = (objstore.MaxValue - maxEnvelopeBytes) / 4 * 3

// Package signs a bundle's bytes with the author's key. The result, the packaged
// bundle, is what the platform stores and VMs pass on to each other. The error has
// code BundleTooLarge if the bundle would exceed the platform's largest value, and
// BadBundle if the bundle is invalid or names an author who does not own the key.
func Package(data []byte, key *PrivateKey) (Signed, error) {
	if len(data) > MaxBytes {
		return Signed{}, result.Errorf(result.BundleTooLarge, "bundle: found %d bytes, allowed are %d", len(data), MaxBytes)
	}
	s := Sign(PurposeBundle, data, key)
	b, findings := Parse(data)
	if len(findings) > 0 {
		return s, BadBundle(findings)
	}
	if b.Author != key.Person {
		return s, result.Errorf(result.BadBundle, "$.author: found %q, allowed is %q, the owner of key %q", b.Author, key.Person, key.ID)
	}
	return s, nil
}

// OpenBundle verifies a packaged bundle and returns its content. It checks the
// digest, the author's signature and the content itself. The author's key may be
// retired. It does not verify sign-offs.
func (r *Keyring) OpenBundle(raw []byte, digest string) (*Bundle, error) {
	s, err := ParseSigned(raw)
	if err != nil {
		return nil, err
	}
	if found := Digest(s.Payload); found != digest {
		return nil, result.Errorf(result.NotSigned, "the bundle's bytes have digest %s, not %s", found, digest)
	}
	key, err := r.VerifyWithRetired(s, PurposeBundle)
	if err != nil {
		return nil, err
	}
	b, findings := Parse(s.Payload)
	if len(findings) > 0 {
		return nil, BadBundle(findings)
	}
	if b.Author != key.Person {
		return nil, result.Errorf(result.NotSigned, "the bundle names author %q and is signed by %s", b.Author, key.Person)
	}
	return b, nil
}

// CheckSignOff returns an error unless the sign-off o approves the bundle b, which
// has the given digest. The code is NotSigned if o is for another bundle or
// deployment, and SelfSigned if o is by the bundle's author.
func (b *Bundle) CheckSignOff(o SignOff, digest string) error {
	if o.Digest != digest || o.Deployment != b.Deployment {
		return result.Errorf(result.NotSigned, "the sign-off is for bundle %s of deployment %s", o.Digest, o.Deployment)
	}
	if o.Person == b.Author {
		return result.Errorf(result.SelfSigned, "%s is the bundle's author and may not sign it off", o.Person)
	}
	return nil
}

// BadBundle returns an error with code BadBundle that lists the findings.
func BadBundle(findings []strictjson.Finding) error {
	text := ""
	for i, f := range findings {
		if i > 0 {
			text += "; "
		}
		text += f.String()
	}
	return result.Errorf(result.BadBundle, "%s", text)
}
