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

// The persons whose public keys every daemon of a Fleet has.
const (
	Author = "author" // person who pushes the bundles of a Fleet
	Signer = "signer" // person who signs off and rolls out the bundles of a Fleet
)

// Options configure a Fleet.
type Options struct {
	Daemon     string // path of the bramleyd program
	Lab        string // path of the bramley-lab program
	Dir        string // directory for settings and logs
	Deployment string // name of the deployment
}

// Fleet runs the processes of one deployment. Its methods are safe for concurrent
// use after StartPlatform.
type Fleet struct {
	opts     Options
	keys     map[string]*bundle.PrivateKey // by person
	keyring  *bundle.Keyring
	fleetKey string    // base64; shared by the daemons, which authenticate each other with it
	platform *Platform // nil before StartPlatform

	mu        sync.Mutex // guards processes
	processes []*Process
}

// New returns a fleet without processes and with newly generated keys.
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
	keyring, err := bundle.NewKeyring(public...)
	f.keyring = keyring
	return f, errors.Trace(err)
}

// Close kills every process that the fleet started and waits until all have exited.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.Kill()
	}
}

// Logs returns the last lines of each process's log, at most lines of them per process.
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

// Platform returns the platform, or nil before StartPlatform.
func (f *Fleet) Platform() *Platform { return f.platform }

// newFleetKey returns a random key for one fleet, in base64. Fleets that run at the
// same time reuse each other's released ports. If all fleets had the same key, a VM
// that dials the address of a stopped VM of its fleet could join another fleet.
func newFleetKey() string {
	var key [wire.MinKeyBytes]byte
	_, _ = rand.Read(key[:]) // never fails
	return base64.StdEncoding.EncodeToString(key[:])
}

// Key returns the private key of a person: Author or Signer.
func (f *Fleet) Key(person string) *bundle.PrivateKey { return f.keys[person] }

// Keyring returns the public keys that every daemon has.
func (f *Fleet) Keyring() *bundle.Keyring { return f.keyring }

// Operator returns an operator's client for one person: Author or Signer. The client
// calls the platform directly, without a fault proxy.
func (f *Fleet) Operator(person string) *rollout.Client {
	return rollout.NewClient(rollout.ClientOptions{
		Deployment: f.opts.Deployment,
		Keys:       f.keyring,
		Key:        f.keys[person],
		Store:      objstore.NewClient(f.platform.Address, objstore.ClientOptions{}),
	})
}

// RollOut pushes a bundle as Author, then signs it off and rolls it out as Signer. It
// first sets the bundle's format, deployment and author, and its name if that is empty.
// It returns the entry that records the rollout.
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

// DaemonOptions configure a daemon. A zero field means its default.
type DaemonOptions struct {
	Name         string                   // name of the VM, and of the process in logs and errors
	Zone         string                   // availability zone of the VM
	Platform     string                   // address of the platform; that of the fleet's platform if empty
	Peers        string                   // address to listen on for other VMs; a free one if empty
	PeersAt      string                   // address that other VMs dial; Peers if empty
	LameDuck     time.Duration            // time for which the daemon still serves after SIGTERM; 0 means none
	LogLevel     string                   // lowest level of the log's lines; "info" if empty
	EditSettings func(*settings.Settings) // applied to the finished settings; may be nil
}

// StartDaemon writes the daemon's settings and starts it. It does not wait until the
// daemon is ready.
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

// RestartDaemon starts a daemon again with the same settings after its process has
// exited. It returns a new Daemon for the new process.
func (f *Fleet) RestartDaemon(d *Daemon) (*Daemon, error) {
	p, err := f.startProgram(d.Name, f.opts.Daemon, "run", d.SettingsPath)
	if err != nil {
		return nil, err
	}
	restarted := *d
	restarted.Process = p
	return &restarted, nil
}

// settings returns the settings of a daemon that listens on free ports, except for
// o.Peers if that is set.
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

// Ports for daemons are taken from below the kernel's range of ephemeral ports. An
// ephemeral port that is free when it is checked is often the local port of an outgoing
// connection by the time the daemon binds it. The daemon then fails to start.
const (
	firstPort = 10000 // lowest port that a daemon gets
	endPort   = 32000 // one more than the highest port that a daemon gets
)

// lastPortOffset rises by one with each port tried. Modulo the number of ports it is the
// offset from firstPort of the port that was tried last. Its initial value depends on the
// process id: test programs that run at the same time begin at different ports and seldom
// try the same ones.
var lastPortOffset atomic.Uint32

func init() { lastPortOffset.Store(uint32(os.Getpid()*portStride) % (endPort - firstPort)) }

// portStride is the distance between the first ports that programs with consecutive
// process ids try. It is larger than the number of ports that one test program uses.
const portStride = 997

// FreeAddress returns a loopback address with a port that was free when FreeAddress
// checked it.
func FreeAddress() (string, error) {
	list, err := freeAddresses(1)
	if err != nil {
		return "", err
	}
	return list[0], nil
}

// freeAddresses returns n loopback addresses with different ports, each of which was
// free when freeAddresses checked it.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < n && tries < endPort-firstPort; tries++ {
		port := firstPort + lastPortOffset.Add(1)%(endPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use
		}
		l.Close()
		out = append(out, address)
	}
	if len(out) < n {
		return nil, errors.Errorf("fewer than %d free ports", n)
	}
	return out, nil
}
