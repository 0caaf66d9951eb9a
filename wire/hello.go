package wire

import (
	"context"
	"crypto/hmac"
	"encoding/json"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// Dial opens a connection to a VM and authenticates both ends. The caller must close it,
// and must call Serve if the peer may call methods of this end.
func Dial(ctx context.Context, address string, o Options, counters *Counters) (*Conn, error) {
	o = o.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, o.HelloTimeout)
	defer cancel()
	raw, err := o.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, result.Wrap(result.ExchangeFailed, err, "dial")
	}
	c := newConn(raw, &o, counters, true)
	if err := c.sendHello(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// sendHello authenticates a connection from the dialer's end. It offers versions and keys,
// proves that this end holds the key that the acceptor chose, and checks the acceptor's
// proof.
func (c *Conn) sendHello(ctx context.Context) error {
	hello := &Hello{
		Versions: supportedVersions(c.opts.MaxVersion),
		From:     c.opts.Self,
		Use:      c.opts.Use,
		Nonce:    newNonce(),
		KeyIDs:   keyIDs(c.opts.Keys),
	}
	var answer HelloAnswer
	if err := c.Call(ctx, MethodHello, hello, &answer); err != nil {
		return err
	}
	key, err := validateAnswer(c.opts, &answer)
	if err != nil {
		return err
	}
	// The peer may send calls, of any allowed size, as soon as it has sent its proof, before
	// this end has checked the proof. Such calls wait until Serve.
	c.maxRead.Store(int64(c.opts.MaxMessage))
	var peerProof Proof
	ownProof := Proof{Proof: computeProof(key, roleDialer, hello, &answer)}
	if err := c.Call(ctx, MethodProve, ownProof, &peerProof); err != nil {
		return err
	}
	if !hmac.Equal(peerProof.Proof, computeProof(key, roleAcceptor, hello, &answer)) {
		return result.Errorf(result.WrongKey, "the acceptor's proof is wrong")
	}
	c.setAuthenticated(answer.From, c.opts.Use, answer.Version)
	return nil
}

// handleHello serves MethodHello on the acceptor's end. It keeps the hello, the answer and
// the chosen key for the check of the dialer's proof, which follows.
func (c *Conn) handleHello(params json.RawMessage) (any, error) {
	var hello Hello
	if err := json.Unmarshal(params, &hello); err != nil {
		return nil, result.Wrap(result.BadHello, err, "")
	}
	answer, key, err := answerHello(c.opts, &hello)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hello != nil || c.proven {
		return nil, result.Errorf(result.BadHello, "second hello on a connection")
	}
	c.hello, c.answer, c.key = &hello, answer, key
	return answer, nil
}

// handleProve serves MethodProve on the acceptor's end. It checks the dialer's proof and
// returns this end's own.
func (c *Conn) handleProve(params json.RawMessage) (any, error) {
	var peerProof Proof
	if err := json.Unmarshal(params, &peerProof); err != nil {
		return nil, result.Wrap(result.BadHello, err, "")
	}
	c.mu.Lock()
	hello, answer, key := c.hello, c.answer, c.key
	c.mu.Unlock()
	if hello == nil {
		return nil, result.Errorf(result.BadHello, "proof without a hello")
	}
	if !hmac.Equal(peerProof.Proof, computeProof(key, roleDialer, hello, answer)) {
		return nil, result.Errorf(result.WrongKey, "the dialer's proof is wrong")
	}
	return Proof{Proof: computeProof(key, roleAcceptor, hello, answer)}, nil
}

// finishHello marks the connection as authenticated at the acceptor's end. It is called after
// the acceptor's proof was sent, so that no other message is sent before the proof.
func (c *Conn) finishHello() {
	c.mu.Lock()
	hello, answer := c.hello, c.answer
	c.mu.Unlock()
	c.setAuthenticated(hello.From, hello.Use, answer.Version)
}
