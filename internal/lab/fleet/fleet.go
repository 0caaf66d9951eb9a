package fleet

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bramleybarrow/bramleybarrow/bundle"
	"github.com/bramleybarrow/bramleybarrow/objstore"
	"github.com/bramleybarrow/bramleybarrow/rollout"
	"github.com/bramleybarrow/bramleybarrow/settings"
	"github.com/bramleybarrow/bramleybarrow/wire"
)

// The persons whose keys every daemon of a Fleet knows.
const (
	Author = "author"
	Signer = "signer"
)

// Options configure a Fleet.
type Options struct {
	Daemon     string // path of the bramleyd program
	Lab        string // path of the bramley-lab program
	Dir        string // for settings and logs
	Deployment string
}

// Fleet is the processes of one deployment. Its methods are safe for
// concurrent use.
type Fleet struct {
	opts     Options
	keys     map[string]*bundle.PrivateKey
	keyring  *bundle.Keyring
	fleetKey string
	platform *Platform

	mu        sync.Mutex // guards processes
	processes []*Process
}

// New returns a fleet without any process.
func New(opts Options) (*Fleet, error) {
	f := &Fleet{
		opts:     opts,
		keys:     make(map[string]*bundle.PrivateKey),
		fleetKey: newFleetKey(),
	}
	var public []bundle.PublicKey
	for _, person := range []string{Author, Signer} {
		key, err := bundle.NewPrivateKey(person+"-1", person)
		if err != nil {
			return nil, errors.Trace(err)
		}
		f.keys[person] = key
		public = append(public, key.Public())
	}
	ring, err := bundle.NewKeyring(public...)
	f.keyring = ring
	return f, errors.Trace(err)
}

// Close kills every process that the fleet started and still runs.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.Kill()
	}
}

// Logs returns the end of each process's log.
func (f *Fleet) Logs(lines int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b strings.Builder
	for _, p := range f.processes {
		all := strings.Split(strings.TrimSpace(p.Log()), "\n")
		all = all[max(0, len(all)-lines):]
		fmt.Fprintf(&b, "--- %s\n%s\n", p.Name, strings.Join(all, "\n"))
	}
	return b.String()
}

// Platform returns the platform once it was started.
func (f *Fleet) Platform() *Platform { return f.platform }

// newFleetKey returns a key of this fleet alone. Fleets that run at the same time
// give ports that one has let go to another; with one key for all, a VM that looked
// for a dead one there would join the other fleet.
func newFleetKey() string {
	var key [wire.MinKeyBytes]byte
	_, _ = rand.Read(key[:]) // never fails
	return base64.StdEncoding.EncodeToString(key[:])
}

// Key returns the private key of Author or Signer.
func (f *Fleet) Key(person string) *bundle.PrivateKey { return f.keys[person] }

// Keyring returns the public keys that daemons know.
func (f *Fleet) Keyring() *bundle.Keyring { return f.keyring }

// Operator returns the operators' client for one person, at the platform's own
// address.
func (f *Fleet) Operator(person string) *rollout.Client {
	return rollout.NewClient(rollout.ClientOptions{
		Deployment: f.opts.Deployment,
		Keys:       f.keyring,
		Key:        f.keys[person],
		Store:      objstore.NewClient(f.platform.Address, objstore.ClientOptions{}),
	})
}

// RollOut pushes a bundle as its author, has it signed off and rolls it out.
// The bundle's format, deployment, author and name are filled in if empty.
func (f *Fleet) RollOut(ctx context.Context, b *bundle.Bundle) (rollout.Entry, error) {
	b.Format, b.Deployment, b.Author = bundle.Format, f.opts.Deployment, Author
	if b.Name == "" {
		b.Name = "test"
	}
	data, err := json.Marshal(b)
	if err != nil {
		return rollout.Entry{}, errors.Trace(err)
	}
	digest, err := f.Operator(Author).Push(ctx, data)
	if err != nil {
		return rollout.Entry{}, errors.Trace(err)
	}
	signer := f.Operator(Signer)
	if _, err := signer.SignOff(ctx, digest, "tests"); err != nil {
		return rollout.Entry{}, errors.Trace(err)
	}
	entry, err := signer.Rollout(ctx, digest, rollout.Request{Reason: "tests"})
	return entry, errors.Trace(err)
}

// DaemonOptions describe a daemon. A zero field stands for its default.
type DaemonOptions struct {
	Name         string
	Zone         string
	Platform     string                   // address; the fleet's platform if empty
	Peers        string                   // address to listen on; a free one if empty
	PeersAt      string                   // address that other VMs dial; Peers if empty
	LameDuck     time.Duration            // 0 means none
	LogLevel     string                   // "info" if empty
	EditSettings func(*settings.Settings) // last word on the settings; may be nil
}

// StartDaemon starts bramleyd. It does not wait until the daemon is ready.
func (f *Fleet) StartDaemon(o DaemonOptions) (*Daemon, error) {
	set, err := f.settings(o)
	if err != nil {
		return nil, errors.Trace(err)
	}
	data, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return nil, errors.Trace(err)
	}
	path := filepath.Join(f.opts.Dir, o.Name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	p, err := f.startProgram(o.Name, f.opts.Daemon, "run", path)
	if err != nil {
		return nil, err
	}
	return &Daemon{
		Process: p, Zone: set.Zone, SettingsPath: path,
		Callers: set.Listen.Callers, Ops: set.Listen.Ops, Peers: set.Listen.PeersAddress(),
	}, nil
}

// RestartDaemon starts a daemon that has ended again, with the same settings.
func (f *Fleet) RestartDaemon(d *Daemon) (*Daemon, error) {
	p, err := f.startProgram(d.Name, f.opts.Daemon, "run", d.SettingsPath)
	if err != nil {
		return nil, err
	}
	again := *d
	again.Process = p
	return &again, nil
}

func (f *Fleet) settings(o DaemonOptions) (*settings.Settings, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	set := &settings.Settings{
		Name:       o.Name,
		Deployment: f.opts.Deployment,
		Zone:       o.Zone,
		Listen:     settings.Listen{Callers: addresses[0], Ops: addresses[1], Peers: addresses[2]},
		Platform:   settings.Platform{Address: o.Platform},
		FleetKeys:  []string{f.fleetKey},
		Log:        settings.Log{Level: o.LogLevel},
		LameDuckMS: int(o.LameDuck.Milliseconds()),
	}
	if o.Peers != "" {
		set.Listen.Peers = o.Peers
	}
	set.Listen.PeersAt = o.PeersAt
	if set.Platform.Address == "" {
		set.Platform.Address = f.platform.Address
	}
	if set.Log.Level == "" {
		set.Log.Level = "info"
	}
	set.OperatorKeys = append(set.OperatorKeys, f.keyring.Keys()...)
	if o.EditSettings != nil {
		o.EditSettings(set)
	}
	return set, nil
}

// Ports for daemons are taken from below the range that the kernel gives to
// outgoing connections. A port of that range that is free when it is looked up is
// often the near end of somebody's connection by the time the daemon binds it,
// and the daemon fails to start.
const (
	firstPort = 10000
	lastPort  = 32000
)

// nextPort is the port to be tried next. Programs that run at the same time
// begin at different ones.
var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid()*portStride) % (lastPort - firstPort)) }

const portStride = 997 // more than the ports of one test

// FreeAddress returns an address on the loopback that was free just now.
func FreeAddress() (string, error) {
	list, err := freeAddresses(1)
	if err != nil {
		return "", err
	}
	return list[0], nil
}

// freeAddresses returns n addresses on the loopback that were free just now.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < n && tries < lastPort-firstPort; tries++ {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // taken
		}
		l.Close()
		out = append(out, address)
	}
	if len(out) < n {
		return nil, errors.Errorf("no %d free ports", n)
	}
	return out, nil
}
