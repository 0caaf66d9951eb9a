package hop

import (
	"context"
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"github.com/bramleybarrow/bramleybarrow/result"
	"github.com/bramleybarrow/bramleybarrow/target"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// codec writes and reads the messages of this package on one connection.
type codec interface {
	marshal(message any) ([]byte, error)
	unmarshal(data []byte, message any) error
	call(ctx context.Context, conn *wire.Conn, method string, data []byte) error
	notify(conn *wire.Conn, method string, data []byte) error
}

// codecOf returns the codec that both ends of a connection speak.
func codecOf(conn *wire.Conn) codec {
	if conn.Version() >= wire.VersionCBOR {
		return cborCodec{}
	}
	return jsonCodec{}
}

func call(ctx context.Context, conn *wire.Conn, method string, message any) error {
	c := codecOf(conn)
	data, err := c.marshal(message)
	if err != nil {
		return err
	}
	return c.call(ctx, conn, method, data)
}

func notify(conn *wire.Conn, method string, message any) error {
	c := codecOf(conn)
	data, err := c.marshal(message)
	if err != nil {
		return err
	}
	return c.notify(conn, method, data)
}

func decode[M any](conn *wire.Conn, params []byte) (*M, error) {
	m := new(M)
	if err := codecOf(conn).unmarshal(params, m); err != nil {
		return nil, result.Wrap(result.BadMessage, err, "")
	}
	return m, nil
}

// jsonCodec is JSON, for VMs of a release without binaryCodec.
type jsonCodec struct{}

// envelope carries a message as one string: JSON-RPC's layers each walk through
// the parameters of a message once or more, in both directions, and a string
// costs them far less than nested objects. docs/design/hop.md has the measurement.
type envelope struct {
	Data []byte `json:"d"`
}

func (jsonCodec) marshal(message any) ([]byte, error) { return json.Marshal(message) }

func (jsonCodec) unmarshal(data []byte, message any) error {
	var p envelope
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	return json.Unmarshal(p.Data, message)
}

func (jsonCodec) call(ctx context.Context, conn *wire.Conn, method string, data []byte) error {
	return conn.Call(ctx, method, envelope{Data: data}, nil)
}

func (jsonCodec) notify(conn *wire.Conn, method string, data []byte) error {
	return conn.Notify(method, envelope{Data: data})
}

// cborCodec is CBOR with the names of the JSON members. JSON within a message
// (an item's fields, a payload, a result) travels as a string of bytes.
type cborCodec struct{}

func (cborCodec) marshal(message any) ([]byte, error) { return cborEncMode.Marshal(message) }

func (cborCodec) call(ctx context.Context, conn *wire.Conn, method string, data []byte) error {
	return conn.CallBody(ctx, method, data)
}

func (cborCodec) notify(conn *wire.Conn, method string, data []byte) error {
	return conn.NotifyBody(method, data)
}

// unmarshal reads no more than JSON could have said: numbers are finite, names
// are unique, and JSON within the message is JSON. A number or a string of bytes
// that JSON can't carry would fail only later, when the whole answer to a caller
// is written, and that answer would be lost.
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

// The bounds on a binary message. The library walks through the whole message
// before it allocates anything, so that a stated length without the bytes is
// refused; what remains is bounded by the bytes of the message, wire.Options.
const (
	maxNesting       = 16      // Answers with a status nest 8 deep
	maxArrayElements = 1 << 16 // of one array
	maxMapPairs      = 64      // of one object
)

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

// must is for options that are constants: a wrong one fails in any test.
func must[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

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

// checkJSON checks a text within a message; none at all stands for null, as in
// textCodec.
func checkJSON(text *json.RawMessage) error {
	if len(*text) == 0 {
		*text = json.RawMessage("null")
		return nil
	}
	if !json.Valid(*text) {
		return result.Errorf(result.BadMessage, "a text of %d bytes is not JSON", len(*text))
	}
	return nil
}
