package wire

import (
	"context"
	"crypto/hmac"
	"encoding/json"

	"github.com/bramleybarrow/bramleybarrow/result"
)

// Dial opens a connection to a VM and proves itself. The caller closes it, and
// calls Serve if the peer may call back.
func Dial(ctx context.Context, address string, o Options, count *Counters) (*Conn, error) {
	o = o.withDefaults()
	ctx, cancel := context.WithTimeout(ctx, o.HelloTimeout)
	defer cancel()
	raw, err := o.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, result.Wrap(result.ExchangeFailed, err, "dial")
	}
	c := newConn(raw, &o, count, true)
	if err := c.sendHello(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

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
	// The peer may call as soon as it has sent its proof, before this end has
	// looked at it; they are held back until Serve.
	c.limit.Store(int64(c.opts.MaxMessage))
	var theirs Proof
	own := Proof{Proof: computeProof(key, roleDialer, hello, &answer)}
	if err := c.Call(ctx, MethodProve, own, &theirs); err != nil {
		return err
	}
	if !hmac.Equal(theirs.Proof, computeProof(key, roleAcceptor, hello, &answer)) {
		return result.Errorf(result.WrongKey, "the accepting end's proof is wrong")
	}
	c.setAuthenticated(answer.From, c.opts.Use, answer.Version)
	return nil
}

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

func (c *Conn) handleProve(params json.RawMessage) (any, error) {
	var theirs Proof
	if err := json.Unmarshal(params, &theirs); err != nil {
		return nil, result.Wrap(result.BadHello, err, "")
	}
	c.mu.Lock()
	hello, answer, key := c.hello, c.answer, c.key
	c.mu.Unlock()
	if hello == nil {
		return nil, result.Errorf(result.BadHello, "proof without a hello")
	}
	if !hmac.Equal(theirs.Proof, computeProof(key, roleDialer, hello, answer)) {
		return nil, result.Errorf(result.WrongKey, "the proof is wrong")
	}
	return Proof{Proof: computeProof(key, roleAcceptor, hello, answer)}, nil
}

// finishHello opens the accepting end after its proof was sent: no message may
// overtake the proof.
func (c *Conn) finishHello() {
	c.mu.Lock()
	hello, answer := c.hello, c.answer
	c.mu.Unlock()
	c.setAuthenticated(hello.From, hello.Use, answer.Version)
}
