package bundle

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/result"
)

// readExample returns the bundle of that name in the folder examples.
func readExample(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("../examples/" + name + ".json")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// testKey returns a new private key of the person, with the given key id.
func testKey(t *testing.T, id, person string) *PrivateKey {
	t.Helper()
	key, err := NewPrivateKey(id, person)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// testKeyring returns a keyring of the given keys.
func testKeyring(t *testing.T, keys ...PublicKey) *Keyring {
	t.Helper()
	ring, err := NewKeyring(keys...)
	if err != nil {
		t.Fatal(err)
	}
	return ring
}

// An operator starts from one of the example bundles in the folder examples. Each must be
// valid and cause no warning.
func TestExamplesPassAllChecks(t *testing.T) {
	for _, name := range []string{"vatnsleit", "pletenica"} {
		g := NewWithT(t)
		b, findings := Parse(readExample(t, name))
		g.Expect(findings).To(BeEmpty(), name)
		g.Expect(b.Warnings()).To(BeEmpty(), name)
		g.Expect(b.Services).To(HaveLen(4))
	}
}

// A bundle with a fault would misconfigure every VM. Each fault, such as an unknown
// field, a value out of range or a reference to a missing name, must yield a finding
// with the path of the value and what is allowed there.
func TestEachFaultYieldsFinding(t *testing.T) {
	cases := []struct{ name, old, new, path, allowed string }{
		{"unknown field", `"format": 1,`, `"format": 1, "colour": 2,`, "$.colour", "one of format"},
		{"other case", `"author"`, `"Author"`, "$.Author", "one of format"},
		{"missing field", `"author": "sigrun",`, ``, "$.author", "required"},
		{"field twice", `"format": 1,`, `"format": 1, "format": 1,`, "$.format", "once"},
		{"not a number", `"max_vms": 8`, `"max_vms": "8"`, "$.fleet.max_vms", "a number"},
		{"fraction", `"max_vms": 8`, `"max_vms": 8.5`, "$.fleet.max_vms", "a whole number"},
		{"too large for its type", `"max_vms": 8`, `"max_vms": 99999999999999999999`, "$.fleet.max_vms", "a whole number"},
		{"out of range", `"max_vms": 8`, `"max_vms": 0`, "$.fleet.max_vms", "1 to 5000"},
		{"null", `"max_vms": 8`, `"max_vms": null`, "$.fleet.max_vms", "a number"},
		{"unknown zone", `"inspector-01", "zone": "reykjanes"`, `"inspector-01", "zone": "oslo"`, "$.services[0].targets[0].zone", "one of $.zones"},
		{"unknown service", `"service": "waterworks-link"`, `"service": "nowhere"`, "$.searches[3].service", "one of $.services"},
		{"name twice", `"inspector-02"`, `"inspector-01"`, "$.services[0].targets[1].name", "once"},
		{"address twice", `10.20.1.12:7400`, `10.20.1.11:7400`, "$.services[0].targets[1].address", "once"},
		{"host name", `10.20.1.12:7400`, `db:7400`, "$.services[0].targets[1].address", "an IP address and port"},
		{"default below min", `"default": 1,`, `"default": 0.1,`, "$.searches[0].coverage.default", "0.9 to 1"},
		{"hedged submit", "\"budget\": 0\n", "\"budget\": 0.5\n", "$.searches[4].hedge.budget", "0 for a submit"},
		{"trailing data", "\n}\n", "\n} {}", "$", "one JSON document"},
		{"cut off", "\n}\n", "", "$", "one JSON document"},
		{"too deep", `"format": 1,`, `"format": ` + strings.Repeat("[", 50) + strings.Repeat("]", 50) + `,`, "$", "one JSON document"},
	}
	data := string(readExample(t, "vatnsleit"))
	for _, c := range cases {
		g := NewWithT(t)
		g.Expect(data).To(ContainSubstring(c.old), c.name)
		_, findings := Parse([]byte(strings.Replace(data, c.old, c.new, 1)))
		var paths []string
		for _, f := range findings {
			paths = append(paths, f.Path)
			if f.Path == c.path {
				g.Expect(f.Allowed).To(ContainSubstring(c.allowed), c.name)
			}
		}
		g.Expect(paths).To(ContainElement(c.path), c.name)
	}
}

// A bundle has several faults. All of them must be reported at once, or the operator
// would have to correct and check the bundle once for each.
func TestAllFindingsAreReturnedTogether(t *testing.T) {
	g := NewWithT(t)
	text := string(readExample(t, "pletenica"))
	text = strings.Replace(text, `"max_vms": 8`, `"max_vms": 0`, 1)
	text = strings.Replace(text, `"kind": "browse"`, `"kind": "peruse"`, 1)
	text = strings.Replace(text, `"leaves": 2`, `"leaves": 0`, 1)
	_, findings := Parse([]byte(text))
	g.Expect(findings).To(HaveLen(3))
}

// A target accepts fewer connections than there may be VMs. Such a bundle is valid,
// but the operator must get a warning for each such target.
func TestFewerConnectionsThanVMsYieldsWarning(t *testing.T) {
	g := NewWithT(t)
	b, _ := Parse(readExample(t, "vatnsleit"))
	b.Fleet.MaxVMs = 26
	g.Expect(b.Check()).To(BeEmpty())
	g.Expect(b.Warnings()).To(HaveLen(50), "one for each target with 25 connections")
}

// A store may decode the JSON of a signed object and encode it with other whitespace
// and another order of fields. The signature must stay valid, or no VM could use the
// bundle.
func TestSignatureStaysValidAfterJSONIsReformatted(t *testing.T) {
	g := NewWithT(t)
	key := testKey(t, "sigrun-1", "sigrun")
	data := readExample(t, "vatnsleit")
	signed, err := Package(data, key)
	g.Expect(err).NotTo(HaveOccurred())
	var decoded any
	g.Expect(json.Unmarshal(signed.Bytes(), &decoded)).To(Succeed())
	reformatted, err := json.MarshalIndent(decoded, "", "\t")
	g.Expect(err).NotTo(HaveOccurred())
	b, err := testKeyring(t, key.Public()).OpenBundle(reformatted, Digest(data))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Deployment).To(Equal("vatnsleit"))
}

// An operator pushes a bundle that is too large for the platform. Package must refuse
// it, so that nothing is written. A bundle of MaxBytes must fit into the platform's
// largest value once it is signed and encoded.
func TestOversizedBundleIsRejectedBeforeWrite(t *testing.T) {
	g := NewWithT(t)
	key := testKey(t, "sigrun-1", "sigrun")
	largest := make([]byte, MaxBytes)
	g.Expect(len(Sign(PurposeBundle, largest, key).Bytes())).To(BeNumerically("<=", objstore.MaxValue))
	_, err := Package(append(largest, ' '), key)
	g.Expect(result.CodeOf(err)).To(Equal(result.BundleTooLarge))
}

// A sign-off was changed after it was signed, or was signed with an unknown key,
// with a retired key, in another person's name or for another purpose. It must be
// rejected with the code that names the reason.
func TestInvalidSignaturesAreRejected(t *testing.T) {
	alice, old, eve := testKey(t, "alice-2", "alice"), testKey(t, "alice-1", "alice"), testKey(t, "eve-1", "eve")
	retired := old.Public()
	retired.Retired = true
	ring := testKeyring(t, alice.Public(), retired)
	signOff := SignOff{Deployment: "d", Digest: "x", Person: "alice"}
	good := signOff.Sign(alice)
	changed := good
	changed.Payload = []byte(strings.Replace(string(good.Payload), `"x"`, `"y"`, 1))
	otherPurpose := good
	otherPurpose.Purpose = PurposeEntry
	inEvesName := signOff
	inEvesName.Person = "eve"
	cases := []struct {
		name   string
		signed Signed
		code   result.Code
	}{
		{"good", good, result.Complete},
		{"changed after signing", changed, result.NotSigned},
		{"unknown key", signOff.Sign(eve), result.UnknownKey},
		{"retired key", signOff.Sign(old), result.UnknownKey},
		{"in another's name", inEvesName.Sign(alice), result.NotSigned},
		{"for another purpose", otherPurpose, result.NotSigned},
		{"empty", Signed{}, result.NotSigned},
	}
	for _, c := range cases {
		_, err := ring.OpenSignOff(c.signed)
		NewWithT(t).Expect(result.CodeOf(err)).To(Equal(c.code), c.name)
	}
	_, err := ring.Verify(otherPurpose, PurposeEntry)
	NewWithT(t).Expect(result.CodeOf(err)).To(Equal(result.NotSigned), "a sign-off is no entry")
}

// A single person must not be able to bring a bundle into force: neither the author
// by signing it off, nor another person by pushing it in the author's name.
func TestAuthorCannotSignOff(t *testing.T) {
	g := NewWithT(t)
	b, _ := Parse(readExample(t, "vatnsleit"))
	err := b.CheckSignOff(SignOff{Deployment: "vatnsleit", Digest: "x", Person: "sigrun"}, "x")
	g.Expect(result.CodeOf(err)).To(Equal(result.SelfSigned))
	_, err = Package(readExample(t, "vatnsleit"), testKey(t, "jon-1", "jon"))
	g.Expect(result.CodeOf(err)).To(Equal(result.BadBundle), "only the author can push a bundle")
}

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestParseAgreesWithEncodingJSON guards against a decoder that panics or reads a
// bundle wrongly. It changes bytes of a valid bundle at random. A document without
// findings must decode to the same value with encoding/json.
func TestParseAgreesWithEncodingJSON(t *testing.T) {
	data := readExample(t, "pletenica")
	rapid.Check(t, func(t *rapid.T) {
		mutated := bytes.Clone(data)
		for range rapid.IntRange(1, 4).Draw(t, "mutations") {
			at := rapid.IntRange(0, len(mutated)-1).Draw(t, "at")
			mutated[at] = rapid.SampledFrom([]byte(`{}[]":,0123e-.x \`)).Draw(t, "byte")
		}
		b, findings := Parse(mutated)
		if len(findings) > 0 {
			return
		}
		var decoded Bundle
		g := NewWithT(t)
		g.Expect(json.Unmarshal(mutated, &decoded)).To(Succeed())
		g.Expect(&decoded).To(Equal(b))
	})
}
