package hop

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"math"
	"reflect"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleybarrow/bramleybarrow/target"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// Generators of the parts of messages and of whole calls and answers, with random values.
var (
	anyText = rapid.StringMatching(`[a-zéß語"\\]{0,6}`)
	anyJSON = rapid.SampledFrom([]json.RawMessage{
		json.RawMessage(`null`), json.RawMessage(`{"a":[1,"b"]}`), json.RawMessage(`"x"`), json.RawMessage(`1e5`),
	})
	anyEcho = rapid.Custom(func(t *rapid.T) target.Echo {
		return target.Echo{Request: anyText.Draw(t, "request"), Attempt: rapid.Int().Draw(t, "attempt"), Snapshot: anyText.Draw(t, "snapshot")}
	})
	anyItem = rapid.Custom(func(t *rapid.T) target.Item {
		item := target.Item{Key: anyText.Draw(t, "key"), Score: rapid.Float64().Draw(t, "score")}
		if rapid.Bool().Draw(t, "has fields") {
			item.Fields = anyJSON.Draw(t, "fields")
		}
		return item
	})
	anyCall = rapid.Custom(func(t *rapid.T) Call {
		c := Call{ID: rapid.Uint64().Draw(t, "id"), Target: anyText.Draw(t, "target"), Leaf: rapid.Int().Draw(t, "leaf")}
		switch rapid.IntRange(0, 2).Draw(t, "which") {
		case 0:
			c.Search = &target.LeafRequest{Echo: anyEcho.Draw(t, "echo"), Query: anyText.Draw(t, "query"), DeadlineMS: rapid.Int64().Draw(t, "deadline")}
		case 1:
			c.Submit = &target.SubmitRequest{Echo: anyEcho.Draw(t, "echo"), Key: anyText.Draw(t, "key"), Payload: anyJSON.Draw(t, "payload")}
		default:
			c.Status = &StatusRequest{DeadlineMS: 5}
		}
		return c
	})
	anyAnswer = rapid.Custom(func(t *rapid.T) Answer {
		a := Answer{ID: rapid.Uint64().Draw(t, "id")}
		switch rapid.IntRange(0, 3).Draw(t, "which") {
		case 0:
			a.Search = &target.LeafAnswer{Echo: anyEcho.Draw(t, "echo"), Items: rapid.SliceOfN(anyItem, -1, 4).Draw(t, "items"), Complete: true}
		case 1:
			a.Submit = &target.SubmitAnswer{Echo: anyEcho.Draw(t, "echo"), Result: anyJSON.Draw(t, "result")}
		case 2:
			a.Status = &target.Status{Target: "t", State: target.StateServing, Leaves: []target.LeafStatus{{
				Load: rapid.Float64().Draw(t, "load"), Holdings: []target.Holding{{Snapshot: "s", Records: rapid.Int64().Draw(t, "records")}},
			}}}
		default:
			a.Failure = &Failure{Kind: target.ErrorRefused, Reason: target.ReasonShed, NotStarted: rapid.Bool().Draw(t, "not started")}
		}
		return a
	})
)

// roundTripJSON encodes in and decodes the result into out with jsonCodec.
func roundTripJSON(g Gomega, in, out any) {
	data, err := jsonCodec{}.marshal(in)
	g.Expect(err).NotTo(HaveOccurred())
	outer, err := json.Marshal(envelope{Data: data})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(jsonCodec{}.unmarshal(outer, out)).To(Succeed())
}

// roundTripCBOR encodes in and decodes the result into out with cborCodec.
func roundTripCBOR(g Gomega, in, out any) {
	data, err := cborCodec{}.marshal(in)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cborCodec{}.unmarshal(data, out)).To(Succeed())
}

// TestCodecsAgree guards against a codec that loses or changes a field of a message.
// During an upgrade, VMs of two releases serve one query, with some calls in JSON and
// some in CBOR. The answer must not depend on the VM that forwarded it.
func TestCodecsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		batch := Batch{Calls: rapid.SliceOfN(anyCall, 1, 3).Draw(rt, "calls")}
		var text, binary Batch
		roundTripJSON(g, batch, &text)
		roundTripCBOR(g, batch, &binary)
		g.Expect(binary).To(Equal(text))
		answers := Answers{Answers: rapid.SliceOfN(anyAnswer, 1, 3).Draw(rt, "answers")}
		var textAnswers, binaryAnswers Answers
		roundTripJSON(g, answers, &textAnswers)
		roundTripCBOR(g, answers, &binaryAnswers)
		g.Expect(binaryAnswers).To(Equal(textAnswers))
	})
}

// TestCodecsCarryEveryField sets every field of the messages by reflection, so that it
// includes fields that are added later, and checks that both codecs preserve them.
// TestCodecsAgree only covers the fields that its generators set.
func TestCodecsCarryEveryField(t *testing.T) {
	g := NewWithT(t)
	for _, message := range []any{&Batch{}, &Answers{}} {
		fillNonZero(reflect.ValueOf(message).Elem())
		text := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		binary := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		roundTripJSON(g, message, text)
		roundTripCBOR(g, message, binary)
		g.Expect(text).To(Equal(message))
		g.Expect(binary).To(Equal(message))
	}
}

// fillNonZero recursively sets v and everything in it to values other than zero.
func fillNonZero(v reflect.Value) {
	if _, raw := v.Interface().(json.RawMessage); raw {
		v.SetBytes([]byte(`{"a":1}`))
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillNonZero(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillNonZero(v.Index(0))
	case reflect.Struct:
		for i := range v.NumField() {
			fillNonZero(v.Field(i))
		}
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Uint64:
		v.SetUint(7)
	default:
		v.SetInt(7)
	}
}

// invalidMessages holds messages in hexadecimal that no VM of this release sends.
var invalidMessages = map[string]string{
	"nothing":              "",
	"text in place":        hex.EncodeToString([]byte(`{"d":"e30="}`)),
	"huge array, no bytes": "a16161" + "9bffffffffffffffff",
	"large array cut":      "a16161" + "9affffffff" + "f6f6",
	"huge string":          "a16161" + "81a16173a1676d697373696e67" + "7bffffffffffffffff",
	"array without end":    "a16161" + "9ff6ff",
	"one name twice":       "a2616180616180",
	"tagged":               "a16161" + "c180",
	"deep":                 "a16178" + "818181818181818181818181818181818180",
	"not a number":         "a1616181a16173a1656974656d7381a16573636f7265" + "f97e00",
	"infinite":             "a1616181a16173a1656974656d7381a16573636f7265" + "f97c00",
	"fields not JSON":      "a1616181a16173a1656974656d7381a1666669656c6473" + "427b7b",
	"result not JSON":      "a1616181a16175a166726573756c74" + "417b",
	"name not UTF-8":       "a1616181a16173a16772657175657374" + "61ff",
	"more after the end":   "a16161" + "80" + "00",
}

// TestInvalidMessagesAreRefused: a faulty VM, or one with another protocol, sends
// bytes that aren't a message, a length that exceeds the bytes present, or values that
// JSON can't represent. If accepted, they would exhaust the memory of this VM, or the
// complete answer to a caller could not be encoded. They must be refused before much
// memory is allocated for them.
func TestInvalidMessagesAreRefused(t *testing.T) {
	for name, text := range invalidMessages {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			data, err := hex.DecodeString(text)
			g.Expect(err).NotTo(HaveOccurred())
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			err = cborCodec{}.unmarshal(data, &Answers{})
			runtime.ReadMemStats(&after)
			g.Expect(err).To(HaveOccurred())
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", 1<<20))
		})
	}
}

// TestTooManyArrayElements: a message holds an array of very many elements of 1 byte each.
// Decoded, they would take many times the memory of the message. An array of more than
// maxArrayElements must be refused, however large messages may be.
func TestTooManyArrayElements(t *testing.T) {
	data := append([]byte{0xa1, 0x61, 'a', 0x9a, 0, 1, 0, 1}, bytes.Repeat([]byte{0xa0}, maxArrayElements+1)...)
	NewWithT(t).Expect(cborCodec{}.unmarshal(data, &Answers{})).NotTo(Succeed())
}

// FuzzDecode guards against input on which decoding CBOR panics, and against decoded
// messages that a codec doesn't preserve.
func FuzzDecode(f *testing.F) {
	for _, text := range invalidMessages {
		data, _ := hex.DecodeString(text)
		f.Add(data)
	}
	seedAnswers := Answers{Answers: []Answer{{ID: 1, Search: &target.LeafAnswer{Items: []target.Item{{Key: "k", Score: math.Pi, Fields: json.RawMessage(`{}`)}}}}}}
	seedBatch := Batch{Calls: []Call{{ID: 1, Target: "t", Submit: &target.SubmitRequest{Key: "k", Payload: json.RawMessage(`[1]`)}}}}
	for _, message := range []any{seedAnswers, seedBatch} {
		data, err := cborCodec{}.marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		checkDecoded(t, data, &Answers{}, &Answers{}, &Answers{})
		checkDecoded(t, data, &Batch{}, &Batch{}, &Batch{})
	})
}

// checkDecoded decodes data into decoded. If that succeeds, it checks that both codecs
// preserve the message; text and binary are empty messages of the same type.
func checkDecoded(t *testing.T, data []byte, decoded, text, binary any) {
	if (cborCodec{}).unmarshal(data, decoded) != nil {
		return
	}
	g := NewWithT(t)
	roundTripCBOR(g, decoded, binary)
	g.Expect(binary).To(Equal(decoded))
	roundTripJSON(g, decoded, text)
	again, err := json.Marshal(text)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(json.Marshal(decoded)).To(MatchJSON(again))
}

// TestMixedVersions: a rolling upgrade introduces a release that speaks CBOR. While
// both releases run, calls between them must be answered in both directions. If one
// end used an encoding that the other can't read, every call between them would fail.
func TestMixedVersions(t *testing.T) {
	for name, tc := range map[string]struct{ owner, caller, agreed int }{
		"new caller, old owner": {wire.VersionJSON, wire.VersionCBOR, wire.VersionJSON},
		"old caller, new owner": {wire.VersionCBOR, wire.VersionJSON, wire.VersionJSON},
		"both new":              {wire.VersionCBOR, wire.VersionCBOR, wire.VersionCBOR},
	} {
		t.Run(name, func(t *testing.T) {
			p := newMixedPair(t, 0, tc.owner, tc.caller)
			p.Expect(p.caller.conn.Version()).To(Equal(tc.agreed))
			ctx, cancel := context.WithTimeout(context.Background(), testLimit)
			defer cancel()
			p.Expect(p.search(ctx, "owned", 1)).To(Succeed())
			p.Expect(callError(p.search(ctx, "owned", 8))).To(HaveField("Reason", target.ReasonCold))
			_, err := p.caller.Submit(ctx, "owned", 1, target.SubmitRequest{Key: "k"})
			p.Expect(err).NotTo(HaveOccurred())
			status, err := p.caller.Status(ctx, "owned")
			p.Expect(err).NotTo(HaveOccurred())
			p.Expect(status.Incarnation).To(Equal("i"))
		})
	}
}
