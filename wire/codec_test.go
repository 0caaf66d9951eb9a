package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sourcegraph/jsonrpc2"
)

// notificationCodec returns a codec that appends the methods of notifications to methods.
func notificationCodec(methods *[]string) boundedCodec {
	limit := new(atomic.Int64)
	limit.Store(maxHelloMessage)
	return boundedCodec{maxRead: limit, maxSend: maxHelloMessage, bodies: new(bodies), withBodies: true, onNotification: func(method string) {
		*methods = append(*methods, method)
	}}
}

// Guards against notifications that VMs of former releases can't read: their bytes are those of the
// JSON library. Those that the library alone can decode are left to it.
func TestNotificationsAreThoseOfTheLibrary(t *testing.T) {
	g := NewWithT(t)
	for _, method := range []string{"gather", "lost_zone"} {
		want, err := json.Marshal(jsonrpc2.Request{Method: method, Notif: true})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(encodeNotification(method)).To(Equal(want))
		decoded, ok := decodeNotification(want)
		g.Expect(ok).To(BeTrue())
		g.Expect(decoded).To(Equal(method))
	}
	for _, other := range []string{
		"", notificationHead, notificationHead + notificationTail, `{"jsonrpc":"2.0","method":"gather","id":1}`,
		`{"jsonrpc":"2.0","method":"gather","params":"x"}`, `{"jsonrpc":"2.0","method":"gat\u0068er"}`, `{"method":"gather"}`,
	} {
		_, ok := decodeNotification([]byte(other))
		g.Expect(ok).To(BeFalse(), other)
	}
}

// Guards against messages that are read out of order, or with the body of another one: a notification
// and a call with bodies follow each other, and then a call without a body.
func TestBodiesBelongToTheirMessages(t *testing.T) {
	g := NewWithT(t)
	var stream bytes.Buffer
	write := func(frame string) { stream.Write(append(binary.AppendUvarint(nil, uint64(len(frame))), frame...)) }
	for _, frame := range []string{
		"\x00one", string(encodeNotification("gathered")),
		"\x00two", `{"jsonrpc":"2.0","method":"gather","id":1}`,
		`{"jsonrpc":"2.0","method":"ping","id":2}`,
	} {
		write(frame)
	}
	var methods []string
	codec := notificationCodec(&methods)
	reader := bufio.NewReader(&stream)
	var first, second jsonrpc2.Request
	g.Expect(codec.ReadObject(reader, &first)).To(Succeed())
	g.Expect(methods).To(Equal([]string{"gathered"}))
	g.Expect(first.Method).To(Equal("gather"))
	g.Expect(string(codec.bodies.in)).To(Equal("two"))
	g.Expect(codec.ReadObject(reader, &second)).To(Succeed())
	g.Expect(second.Method).To(Equal("ping"))
	g.Expect(codec.bodies.in).To(BeNil())
	g.Expect(methods).To(HaveLen(1))
}

// BenchmarkNotification writes and reads a notification with a body of 1 kB.
func BenchmarkNotification(b *testing.B) {
	var methods []string
	codec := notificationCodec(&methods)
	var stream bytes.Buffer
	reader := bufio.NewReader(&stream)
	b.ReportAllocs()
	for b.Loop() {
		stream.Reset()
		reader.Reset(&stream)
		methods = methods[:0]
		req := &jsonrpc2.Request{Method: "gathered", Notif: true, ExtraFields: []jsonrpc2.RequestField{{Name: bodyField, Value: bodyAttachment(make([]byte, 1024))}}}
		codec.bodies.onSend(req, nil)
		if err := codec.WriteObject(&stream, req); err != nil {
			b.Fatal(err)
		}
		var read jsonrpc2.Request
		if err := codec.ReadObject(reader, &read); err != nil && len(methods) == 0 {
			b.Fatal(err)
		}
	}
}
