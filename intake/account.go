package intake

import (
	"cmp"
	"slices"
	"time"
)

// Memory that connections and requests take, in bytes.
const (
	// ConnBytes is what an open connection takes: buffers for reading and writing, and a stack.
	ConnBytes = 20 << 10
	// headerFactor is the memory for a header, as a multiple of its bytes on the wire: the bytes, and the
	// names and values that were parsed from them.
	headerFactor = 3
	// SmallBody is the size up to which a body does not count towards Limits.LargeBodies.
	SmallBody = 16 << 10
)

// Weights of what a connection costs.
const (
	// keptWeight is the weight of a connection that waits for another request. Callers may keep it.
	keptWeight = 1.0 / 16
	// refusedWeight is the weight of a connection that stays open only to deliver a refusal.
	refusedWeight = 16
)

const (
	// spareShare is how much more than is needed is freed at once, as a share of a limit.
	spareShare = 1.0 / 32
	// closingShare is the share of the connections that may have given way and not be closed yet.
	closingShare = 1.0 / 16
)

// Limits bound what callers make a VM hold. A zero field means no limit.
type Limits struct {
	Bytes       int64 // memory in all
	LargeBodies int64 // part of Bytes that bodies above SmallBody may take
	Conns       int   // open connections, also those that have given way and are not closed yet
}

// Phase says what a connection is used for.
type Phase int

// The phases of a connection.
const (
	Waiting   Phase = iota // for a request
	Arriving               // a request is being received
	Running                // a request that was received whole is served
	Answering              // an answer is sent
	Refused                // the request was refused, and what still arrives of it is dropped
	Ended                  // the connection has given way and is not closed yet
	phases
)

// phaseNames are the words used in metrics.
var phaseNames = [phases]string{"waiting", "arriving", "running", "answering", "refused", "ended"}

// String returns the word used in metrics.
func (p Phase) String() string { return phaseNames[p] }

// Conn is the account of one connection.
type Conn struct {
	Owner any // identifies the connection to the caller; not used by this package

	phase        Phase
	since        time.Time // when the phase began
	used         bool      // it has carried an earlier request
	head, answer int64     // memory for the header of its request, and for its answer, in bytes
	body         int64     // memory for its body while it arrives, in bytes
	index        int       // in Account.conns
}

// Eviction tells that a connection gives way.
type Eviction struct {
	Conn  *Conn
	Phase Phase // in which it gave way
	// Close says that the connection has to be closed at once. Otherwise its request is refused: the caller gets
	// an answer, and the connection stays open until the caller has had time to read it.
	Close bool
}

// Evictable returns the phases in which connections may give way.
func Evictable() []Phase { return []Phase{Waiting, Arriving, Answering, Refused} }

// bytes returns the memory that the connection holds. Once it has given way, it counts as free.
func (c *Conn) bytes() int64 {
	if c.phase == Ended {
		return 0
	}
	return ConnBytes + c.head + c.answer + c.body
}

// cost returns what the connection has cost since its phase began, in weighted byte seconds.
func (c *Conn) cost(now time.Time) float64 {
	cost := float64(c.bytes()) * now.Sub(c.since).Seconds()
	switch {
	case c.phase == Waiting && c.used:
		return cost * keptWeight
	case c.phase == Refused:
		return cost * refusedWeight
	}
	return cost
}

// mayGiveWay reports whether the connection can be closed for others.
func (c *Conn) mayGiveWay() bool { return c.phase != Running && c.phase != Ended }

// Account holds the accounts of all connections.
type Account struct {
	limits Limits
	conns  []*Conn
	ended  int   // number of conns that have given way
	bytes  int64 // memory of conns and of what was detached from them
	large  int64 // part of bytes for bodies above SmallBody
}

// NewAccount returns an account without connections.
func NewAccount(limits Limits) *Account { return &Account{limits: limits} }

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.limits }

// Held returns the memory in all, in bytes, and the number of open connections.
func (a *Account) Held() (bytes int64, conns int) { return a.bytes, len(a.conns) }

// demand is what is to be held in addition.
type demand struct {
	bytes, large int64
	conns        int
}

// largePart returns the part of the memory of a body that counts towards Limits.LargeBodies.
func largePart(body int64) int64 {
	if body <= SmallBody {
		return 0
	}
	return body
}

// Open adds a connection. It returns nil if there is no room for it. The evictions have to be carried out.
func (a *Account) Open(now time.Time, owner any) (c *Conn, evicted []Eviction) {
	ok, evicted := a.makeRoom(now, nil, demand{bytes: ConnBytes, conns: 1})
	if !ok || a.limits.Conns > 0 && len(a.conns) >= a.limits.Conns {
		return nil, evicted
	}
	c = &Conn{Owner: owner, since: now, index: len(a.conns)}
	a.conns = append(a.conns, c)
	a.bytes += ConnBytes
	return c, evicted
}

// Close removes a connection. What was detached from it stays held.
func (a *Account) Close(c *Conn) {
	if c.index < 0 {
		return
	}
	if c.phase == Ended {
		a.ended--
	}
	a.bytes -= c.bytes()
	a.large -= largePart(c.body)
	last := a.conns[len(a.conns)-1]
	a.conns[c.index], last.index = last, c.index
	a.conns = a.conns[:len(a.conns)-1]
	c.index, c.phase, c.body, c.head, c.answer = -1, Ended, 0, 0, 0
}

// Header records that so many bytes of the header of a request were read. It returns false if the connection
// gives way. The evictions have to be carried out.
func (a *Account) Header(now time.Time, c *Conn, read int) (ok bool, evicted []Eviction) {
	ok, evicted = a.grow(now, c, demand{bytes: headerFactor * int64(read)})
	if ok {
		c.head += headerFactor * int64(read)
	}
	return ok, evicted
}

// Body records that the body of the request that arrives takes so many bytes of memory. The results are those
// of Header. The memory must be allocated afterwards only.
func (a *Account) Body(now time.Time, c *Conn, size int64) (ok bool, evicted []Eviction) {
	ok, evicted = a.grow(now, c, demand{bytes: size - c.body, large: largePart(size) - largePart(c.body)})
	if ok {
		c.body = size
	}
	return ok, evicted
}

// grow makes room for more of the request that arrives on c, and counts it.
func (a *Account) grow(now time.Time, c *Conn, more demand) (ok bool, evicted []Eviction) {
	switch c.phase {
	case Waiting:
		a.enter(now, c, Arriving)
	case Refused, Ended:
		return false, nil
	}
	ok, evicted = a.makeRoom(now, c, more)
	if !ok {
		return false, evicted
	}
	a.bytes += more.bytes
	a.large += more.large
	return true, evicted
}

// Run records that the request on the connection was received whole. From now on it does not give way. Its body
// is detached: it counts until Free. Run returns false if the connection has given way before.
func (a *Account) Run(now time.Time, c *Conn) (body int64, ok bool) {
	if c.phase == Refused || c.phase == Ended {
		return 0, false
	}
	a.enter(now, c, Running)
	body, c.body = c.body, 0
	return body, true
}

// Reserve counts so many bytes of copies of a request. It returns false, and counts nothing, if there is no room.
// The evictions have to be carried out. After true, Free has to be called.
func (a *Account) Reserve(now time.Time, size int64) (ok bool, evicted []Eviction) {
	more := demand{bytes: size, large: largePart(size)}
	ok, evicted = a.makeRoom(now, nil, more)
	if ok {
		a.bytes += more.bytes
		a.large += more.large
	}
	return ok, evicted
}

// Free ends the count of a body that Run has detached, or of copies that Reserve has counted.
func (a *Account) Free(size int64) {
	a.bytes -= size
	a.large -= largePart(size)
}

// Answer records that an answer of this size is sent. It exists already, so it is counted in any case. The
// evictions have to be carried out.
func (a *Account) Answer(now time.Time, c *Conn, size int64) (evicted []Eviction) {
	if c.phase == Ended {
		return nil
	}
	_, evicted = a.makeRoom(now, nil, demand{bytes: size})
	if c.phase == Ended {
		return evicted
	}
	a.enter(now, c, Answering)
	a.bytes += size
	c.answer += size
	return evicted
}

// Refuse records that the request on the connection is refused, and frees what was received of it.
func (a *Account) Refuse(now time.Time, c *Conn) {
	if c.phase != Ended {
		a.freeRequest(c)
		a.enter(now, c, Refused)
	}
}

// Wait records that the connection waits for another request, and frees the last one and its answer.
func (a *Account) Wait(now time.Time, c *Conn) {
	if c.phase != Ended {
		a.freeRequest(c)
		c.used = true
		a.enter(now, c, Waiting)
	}
}

// enter begins a phase.
func (a *Account) enter(now time.Time, c *Conn, phase Phase) { c.phase, c.since = phase, now }

// freeRequest frees the request on a connection and its answer, but not what was detached.
func (a *Account) freeRequest(c *Conn) {
	a.bytes -= c.head + c.answer + c.body
	a.large -= largePart(c.body)
	c.head, c.answer, c.body = 0, 0, 0
}

// usableConns returns how many connections may be open without those that have given way.
func (a *Account) usableConns() int {
	return max(a.limits.Conns-max(int(closingShare*float64(a.limits.Conns)), 1), 1)
}

// fits reports whether more can be held, and leaves spare room if spare is set.
func (a *Account) fits(more demand, spare bool) bool {
	return a.fitsBytes(more, spare) && a.fitsLarge(more, spare)
}

// fitsBytes reports whether memory and connections suffice.
func (a *Account) fitsBytes(more demand, spare bool) bool {
	bytes, conns := a.limits.Bytes, a.usableConns()
	if spare {
		bytes -= int64(spareShare * float64(bytes))
		conns -= int(spareShare * float64(conns))
	}
	return (a.limits.Bytes <= 0 || a.bytes+more.bytes <= bytes || more.bytes <= 0) &&
		(a.limits.Conns <= 0 || more.conns == 0 || len(a.conns)-a.ended+more.conns <= max(conns, 1))
}

// fitsLarge reports whether the memory for large bodies suffices.
func (a *Account) fitsLarge(more demand, spare bool) bool {
	limit := a.limits.LargeBodies
	if spare {
		limit -= int64(spareShare * float64(limit))
	}
	return limit <= 0 || more.large <= 0 || a.large+more.large <= limit
}

// makeRoom evicts connections until more can be held, and reports whether it can. self, which may be nil, is the
// connection that needs it. It gives way itself if it has cost more than others that could.
func (a *Account) makeRoom(now time.Time, self *Conn, more demand) (ok bool, evicted []Eviction) {
	if a.fits(more, false) {
		return true, nil
	}
	for _, c := range a.byCost(now, a.fitsBytes(more, true)) {
		fitsBytes, fitsLarge := a.fitsBytes(more, true), a.fitsLarge(more, true)
		if fitsBytes && fitsLarge {
			break
		}
		if fitsBytes && largePart(c.body) == 0 {
			continue // it holds nothing of what is short
		}
		if c == self && a.fits(more, false) {
			break
		}
		evicted = append(evicted, a.evict(now, c, more.conns > 0))
		if c == self {
			return false, evicted
		}
	}
	return a.fits(more, false), evicted
}

// byCost returns the connections that may give way, those first that have cost most. If largeOnly is set, they are
// those with large bodies.
func (a *Account) byCost(now time.Time, largeOnly bool) []*Conn {
	var list []*Conn
	for _, c := range a.conns {
		if c.mayGiveWay() && (!largeOnly || largePart(c.body) > 0) {
			list = append(list, c)
		}
	}
	slices.SortStableFunc(list, func(x, y *Conn) int { return cmp.Compare(y.cost(now), x.cost(now)) })
	return list
}

// evict lets a connection give way. If a descriptor is needed, it is closed at once.
func (a *Account) evict(now time.Time, c *Conn, closeIt bool) Eviction {
	ev := Eviction{Conn: c, Phase: c.phase, Close: closeIt || c.phase != Arriving}
	if ev.Close {
		a.bytes -= ConnBytes
		a.ended++
	}
	a.freeRequest(c)
	if ev.Close {
		a.enter(now, c, Ended)
	} else {
		a.enter(now, c, Refused)
	}
	return ev
}
