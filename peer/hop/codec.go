package hop

import (
	"context"
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// codec encodes, decodes and sends the messages of this package. marshal returns
// the data that call and notify send. call waits until the peer has accepted or
// refused the message; notify doesn't.
type codec interface {
	marshal(message any) ([]byte, error)
	unmarshal(data []byte, message any) error
	call(ctx context.Context, conn *wire.Conn, method string, data []byte) error
	notify(conn *wire.Conn, method string, data []byte) error
}

// codecOf returns the codec of the protocol version that both ends of a connection
// have agreed on.
func codecOf(conn *wire.Conn) codec {
	if conn.Version() >= wire.VersionCBOR {
		return cborCodec{}
	}
	return jsonCodec{}
}

// call encodes a message for a connection, sends it and waits until the peer has
// accepted or refused it.
func call(ctx context.Context, conn *wire.Conn, method string, message any) error {
	c := codecOf(conn)
	data, err := c.marshal(message)
	if err != nil {
		return err
	}
	return c.call(ctx, conn, method, data)
}

// notify encodes a message for a connection and sends it without waiting for an answer.
func notify(conn *wire.Conn, method string, message any) error {
	c := codecOf(conn)
	data, err := c.marshal(message)
	if err != nil {
		return err
	}
	return c.notify(conn, method, data)
}

// decode decodes the parameters of a message that was received on conn. Its errors have
// the code result.BadMessage.
func decode[M any](conn *wire.Conn, params []byte) (*M, error) {
	m := new(M)
	if err := codecOf(conn).unmarshal(params, m); err != nil {
		return nil, result.Wrap(result.BadMessage, err, "")
	}
	return m, nil
}

// jsonCodec encodes messages as JSON, for VMs of a release without cborCodec.
type jsonCodec struct{}

// envelope holds an encoded message as one base64 string. Each layer of the
// JSON-RPC library scans the parameters of a message at least once, when sending
// and when receiving, and a string costs far less to scan than nested objects.
// docs/design/hop.md has the figures.
type envelope struct {
	Data []byte `json:"d"` // the JSON of the message
}

// marshal implements codec.
func (jsonCodec) marshal(message any) ([]byte, error) { return json.Marshal(message) }

// unmarshal implements codec. data is an envelope that the peer sent.
func (jsonCodec) unmarshal(data []byte, message any) error {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return err
	}
	return json.Unmarshal(e.Data, message)
}

// call implements codec. It sends data in an envelope.
func (jsonCodec) call(ctx context.Context, conn *wire.Conn, method string, data []byte) error {
	return conn.Call(ctx, method, envelope{Data: data}, nil)
}

// notify implements codec. It sends data in an envelope.
func (jsonCodec) notify(conn *wire.Conn, method string, data []byte) error {
	return conn.Notify(method, envelope{Data: data})
}

// cborCodec encodes messages as CBOR maps with the same keys as the JSON objects.
// Embedded JSON (an item's fields, a payload, a result) is a CBOR byte string.
type cborCodec struct{}

// marshal implements codec.
func (cborCodec) marshal(message any) ([]byte, error) { return cborEncMode.Marshal(message) }

// call implements codec. It sends data as the binary body of a message.
func (cborCodec) call(ctx context.Context, conn *wire.Conn, method string, data []byte) error {
	return conn.CallBody(ctx, method, data)
}

// notify implements codec. It sends data as the binary body of a message.
func (cborCodec) notify(conn *wire.Conn, method string, data []byte) error {
	return conn.NotifyBody(method, data)
}

// unmarshal implements codec. It accepts only what JSON can represent: numbers are
// finite, keys are unique, and embedded JSON is valid. A number or a byte string that
// JSON can't represent would otherwise fail only later, when the complete answer to a
// caller is encoded, and that answer would be lost.
func (cborCodec) unmarshal(data []byte, message any) error {
	if err := cborDecMode.Unmarshal(data, message); err != nil {
		return err
	}
	switch m := message.(type) {
	case *Batch:
		return checkCalls(m.Calls)
	case *Answers:
		return checkAnswers(m.Answers)
	}
	return nil
}

// The bounds on a CBOR message. The library checks that the whole message is well
// formed before it allocates memory, so it refuses a length that exceeds the bytes
// present. The size of a message is bounded by wire.Options.MaxMessage.
const (
	maxNesting       = 16      // levels of arrays and maps in a message; Answers with a status have 8
	maxArrayElements = 1 << 16 // elements of one array
	maxMapPairs      = 64      // pairs of key and value in one map
)

// The settings of the CBOR library for encoding and decoding messages.
var (
	cborEncMode = must(cbor.EncOptions{}.EncMode())
	cborDecMode = must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   maxNesting,
		MaxArrayElements:  maxArrayElements,
		MaxMapPairs:       maxMapPairs,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
		NaN:               cbor.NaNDecodeForbidden,
		Inf:               cbor.InfDecodeForbidden,
	}.DecMode())
)

// must returns mode, or panics if err is set. Use it only with constant options, whose
// errors any test of the package detects.
func must[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// checkCalls validates the embedded JSON of calls, the payloads of non-idempotent
// requests. An empty payload becomes null.
func checkCalls(calls []Call) error {
	for i := range calls {
		if s := calls[i].Submit; s != nil {
			if err := checkJSON(&s.Payload); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkAnswers validates the embedded JSON of answers: the results of non-idempotent
// requests, of which an empty one becomes null, and the fields of found items.
func checkAnswers(answers []Answer) error {
	for i := range answers {
		if s := answers[i].Submit; s != nil {
			if err := checkJSON(&s.Result); err != nil {
				return err
			}
		}
		if s := answers[i].Search; s != nil {
			if err := checkFields(s); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkFields validates the fields of an answer's items. Empty fields become nil.
func checkFields(a *target.LeafAnswer) error {
	for i := range a.Items {
		fields := &a.Items[i].Fields
		if len(*fields) == 0 {
			*fields = nil
			continue
		}
		if err := checkJSON(fields); err != nil {
			return err
		}
	}
	return nil
}

// checkJSON validates embedded JSON. An empty value becomes null, as with
// jsonCodec.
func checkJSON(text *json.RawMessage) error {
	if len(*text) == 0 {
		*text = json.RawMessage("null")
		return nil
	}
	if !json.Valid(*text) {
		return result.Errorf(result.BadMessage, "embedded value of %d bytes is not valid JSON", len(*text))
	}
	return nil
}
