package result

// The codes; Table states their meanings. A number is never reused for another meaning.
const (
	Complete Code = 100
	Partial  Code = 101
	Accepted Code = 102

	BadRequest    Code = 200
	UnknownSearch Code = 201
	TooLarge      Code = 202
	KeyRequired   Code = 203 // the idempotency key of a request is missing or malformed
	KeyReused     Code = 204 // the idempotency key, or an operator's operation id, was used for something else
	KeyExpired    Code = 205 // the idempotency key is too old
	CursorGone    Code = 206
	BadTimeLimit  Code = 207
	BadCoverage   Code = 208

	Overloaded      Code = 300
	NoBundle        Code = 301
	Leaving         Code = 302
	ClaimsDown      Code = 303
	NoReplica       Code = 304
	NotStarted      Code = 305
	CannotMeetLimit Code = 306

	CoverageTooLow Code = 400
	TimedOut       Code = 401

	OutcomeUnknown Code = 500
	InProgress     Code = 501
	Internal       Code = 502

	Conflict       Code = 600
	BadBundle      Code = 601
	BundleTooLarge Code = 602
	NotSigned      Code = 603
	UnknownKey     Code = 604 // the signing key is retired or not listed in the settings
	SelfSigned     Code = 605
	Recalled       Code = 606
	NotFound       Code = 607
	WriteUnknown   Code = 608
	PlatformDown   Code = 609
	BrokenAudit    Code = 610
	NothingBefore  Code = 611
	BadSettings    Code = 612
	Lagging        Code = 613

	BadHello       Code = 700
	WrongVersion   Code = 701
	MessageTooBig  Code = 702
	UnknownMethod  Code = 703
	WrongKey       Code = 704 // the other VM does not hold a key of this fleet
	PeerBusy       Code = 705
	BadMessage     Code = 706
	StaleExchange  Code = 708
	PeerSilent     Code = 709
	WrongFleet     Code = 710
	BundleNotHeld  Code = 711
	ExchangeFailed Code = 712
	PositionGone   Code = 713
)

// Table lists every code in ascending order.
var Table = []Info{
	{Complete, "Complete", 200, RanYes, RetryNo, "Every shard of the snapshot answered in full."},
	{Partial, "Partial", 200, RanYes, RetryNo, "Records are missing; the coverage stated with the answer meets what the caller asked for."},
	{Accepted, "Accepted", 200, RanYes, RetryNo, "The change or the non-idempotent request took effect once."},

	{BadRequest, "BadRequest", 400, RanNo, RetryNo, "The request is malformed; the detail names the field, what was found and what is allowed."},
	{UnknownSearch, "UnknownSearch", 404, RanNo, RetryNo, "The bundle in force has no search of that name and kind."},
	{TooLarge, "TooLarge", 413, RanNo, RetryNo, "The request exceeds a size bound; the detail names the bound."},
	{KeyRequired, "KeyRequired", 400, RanNo, RetryNo, "A non-idempotent request needs a key of the form <unix seconds>-<8 to 64 letters, digits, '-' or '_'>."},
	{KeyReused, "KeyReused", 409, RanNo, RetryNo, "The key was used with another request; make a new key for a new request."},
	{KeyExpired, "KeyExpired", 410, RanNo, RetryNo, "The key is older than the time for which outcomes are kept; this sending was not run, an earlier one may have been."},
	{CursorGone, "CursorGone", 410, RanNo, RetryNo, "The snapshot that the cursor pins is gone; start again from the first page."},
	{BadTimeLimit, "BadTimeLimit", 400, RanNo, RetryNo, "The time limit is outside what the bundle allows."},
	{BadCoverage, "BadCoverage", 400, RanNo, RetryNo, "The coverage is outside what the bundle allows."},

	{Overloaded, "Overloaded", 503, RanNo, RetryLater, "The request was refused at admission; nothing was handed to a target."},
	{NoBundle, "NoBundle", 503, RanNo, RetryLater, "This VM has no bundle in force yet."},
	{Leaving, "Leaving", 503, RanNo, RetryLater, "This VM is stopping; send the request to another VM."},
	{ClaimsDown, "ClaimsDown", 503, RanNo, RetryLater, "The key could not be claimed, so nothing was handed to a target."},
	{NoReplica, "NoReplica", 503, RanNo, RetryLater, "No live replica can serve the request."},
	{NotStarted, "NotStarted", 503, RanNo, RetryLater, "Every target that was asked answered that it did not start the request."},
	{CannotMeetLimit, "CannotMeetLimit", 503, RanNo, RetryLater, "The expected wait is longer than the caller's time limit; nothing was handed to a target."},

	{CoverageTooLow, "CoverageTooLow", 503, RanUnknown, RetryLater, "Fewer shards answered than the caller needs; the coverage reached is stated."},
	{TimedOut, "TimedOut", 504, RanUnknown, RetryLater, "The caller's time limit passed before enough shards answered."},

	{OutcomeUnknown, "OutcomeUnknown", 500, RanUnknown, RetrySameKey, "The request was handed to a target and its outcome is not known; it will not be run again."},
	{InProgress, "InProgress", 409, RanUnknown, RetrySameKey, "Another sending of this key is being run; ask again with the same key."},
	{Internal, "Internal", 500, RanUnknown, RetryNo, "The daemon met a fault of its own; its log has the request id."},

	{Conflict, "Conflict", 409, RanNo, RetryNo, "Another operator's change came first; nothing of this one took effect."},
	{BadBundle, "BadBundle", 400, RanNo, RetryNo, "The bundle failed its checks; each finding names its path, what was found and what is allowed."},
	{BundleTooLarge, "BundleTooLarge", 413, RanNo, RetryNo, "The bundle exceeds the size of a value on the platform; nothing was written."},
	{NotSigned, "NotSigned", 403, RanNo, RetryNo, "The bundle lacks a valid sign-off."},
	{UnknownKey, "UnknownKey", 403, RanNo, RetryNo, "The signature is by a key that is unknown or retired."},
	{SelfSigned, "SelfSigned", 403, RanNo, RetryNo, "The author of a bundle cannot sign it off; another person has to."},
	{Recalled, "Recalled", 409, RanNo, RetryNo, "The bundle was recalled; it needs a new sign-off before it can be rolled out again."},
	{NotFound, "NotFound", 404, RanNo, RetryNo, "The platform holds no such object."},
	{WriteUnknown, "WriteUnknown", 504, RanUnknown, RetrySameKey, "The answer to a write was lost and the platform cannot be read; ask again with the same operation id."},
	{PlatformDown, "PlatformDown", 503, RanNo, RetryLater, "The platform does not answer; nothing was changed."},
	{BrokenAudit, "BrokenAudit", 500, RanNo, RetryNo, "The audit trail has a gap or an entry that does not match its successor."},
	{NothingBefore, "NothingBefore", 409, RanNo, RetryNo, "There is no earlier bundle to fall back to; roll one out instead."},
	{BadSettings, "BadSettings", 400, RanNo, RetryNo, "The settings failed their checks; the detail names the field, what was found and what is allowed."},
	{Lagging, "Lagging", 504, RanYes, RetryNo, "The change was accepted, but some VMs did not report it in force within the time to wait."},

	{BadHello, "BadHello", 400, RanNo, RetryNo, "The first message of a connection was not a valid hello."},
	{WrongVersion, "WrongVersion", 400, RanNo, RetryNo, "The two VMs share no version of the inner protocol."},
	{MessageTooBig, "MessageTooBig", 413, RanNo, RetryNo, "An inner message exceeds its size bound."},
	{UnknownMethod, "UnknownMethod", 404, RanNo, RetryNo, "The inner protocol has no such method."},
	{WrongKey, "WrongKey", 403, RanNo, RetryNo, "The other end does not hold a key of this fleet."},
	{PeerBusy, "PeerBusy", 503, RanNo, RetryLater, "The bound on work taken from peers is reached; nothing was started."},
	{BadMessage, "BadMessage", 400, RanNo, RetryNo, "An inner message failed its checks."},
	{StaleExchange, "StaleExchange", 409, RanNo, RetryNo, "What the peer offered is older than what is known."},
	{PeerSilent, "PeerSilent", 504, RanUnknown, RetryLater, "The peer did not answer in time."},
	{WrongFleet, "WrongFleet", 403, RanNo, RetryNo, "The other end belongs to another deployment."},
	{BundleNotHeld, "BundleNotHeld", 404, RanNo, RetryLater, "The peer does not hold the bundle that was asked for."},
	{ExchangeFailed, "ExchangeFailed", 503, RanNo, RetryLater, "The exchange with the peer failed."},
	{PositionGone, "PositionGone", 410, RanNo, RetryNo, "The position to go on from is not known here; read everything anew."},
}

// byCode holds the rows of Table by code.
var byCode = indexTable()

// indexTable returns the rows of Table by code.
func indexTable() map[Code]Info {
	index := make(map[Code]Info, len(Table))
	for _, row := range Table {
		index[row.Code] = row
	}
	return index
}
