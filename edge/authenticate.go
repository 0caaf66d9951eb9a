package edge

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/bramleybarrow/bramleybarrow/routing"
)

// Headers of a request that needs an API key, and of the answer to one without a valid key.
const (
	headerAuthorization = "Authorization"
	headerChallenge     = "Www-Authenticate" // in the canonical form of http.Header
	schemeBearer        = "Bearer"
)

// keyCheck is how the check of a request's API key ended.
type keyCheck int

// The ends of a check.
const (
	keyValid       keyCheck = iota
	keyAnonymous            // the route needs no key
	keyMissing              // no key was given
	keyMalformed            // no bearer token was given, or more than one
	keyUnknown              // no tenant holds the key
	keyBehind               // this VM knows no tenant that holds the key, but may not have the newest manifest
	keyUnconfirmed          // not checked: strict revocation, and this VM may not have the newest manifest
	keyChecks
)

// keyCheckNames are the reasons of rejections in the log, and the label outcome in the metrics.
var keyCheckNames = [keyChecks]string{
	"ok", "anonymous", "key_missing", "key_malformed", "key_unknown", "key_behind", "key_unconfirmed",
}

// keyCheckCounters are the names of the counters of checks.
var keyCheckCounters = func() (names [keyChecks]string) {
	for i, name := range keyCheckNames {
		names[i] = `bramley_edge_key_checks_total{outcome="` + name + `"}`
	}
	return names
}()

// Retry-After times of a VM that may not have the newest manifest. They are spread, so that callers
// don't return together.
const (
	retryAfterBehind       = 200 * time.Millisecond
	retryAfterBehindSpread = 300 * time.Millisecond
)

// refreshShare is how long a request with an unknown key waits for the newest manifest, as a share
// of its route's latency objective, or of its timeout if it has none.
const refreshShare = 0.25

// authenticate returns on whose behalf a request on a route runs by manifest m, or a rejection. It
// may put a newer manifest in force; the request then has to be judged by that one.
func (e *Engine) authenticate(r *http.Request, m *routing.Manifest, route *routing.Route) (origin, *rejection) {
	who := origin{rank: route.Priority, keyed: m.KeysRequired}
	if !m.KeysRequired {
		return who, nil
	}
	check := keyAnonymous
	if !route.Anonymous {
		check = e.checkKey(r, m, route, &who)
	}
	e.stats.set.GetOrCreateCounter(keyCheckCounters[check]).Inc()
	switch check {
	case keyValid, keyAnonymous:
		return who, nil
	default:
		return origin{}, newKeyRejection(check)
	}
}

// checkKey checks the key of a request on a route that needs one. It stores its tenant and its rank
// in who.
func (e *Engine) checkKey(r *http.Request, m *routing.Manifest, route *routing.Route, who *origin) keyCheck {
	if !e.currency.mayServeKeys(time.Now()) {
		return keyUnconfirmed
	}
	key, check := bearerKey(r.Header[headerAuthorization])
	if check != keyValid {
		return check
	}
	if t := m.Tenant(key); t != nil {
		who.tenant, who.rank = t, t.Rank(route.Priority)
		return keyValid
	}
	if strings.ContainsAny(key, " \t,") {
		return keyMalformed
	}
	wait := time.Duration(refreshShare * float64(cmp.Or(route.Aim, route.Timeout)))
	ctx, cancel := e.stopping.bound(r.Context(), time.Now().Add(wait))
	defer cancel()
	waiting := e.refreshManifest(ctx, wait)
	if waiting || e.currency.mayBeBehind(time.Now()) {
		return keyBehind
	}
	return keyUnknown
}

// bearerKey returns the API key in the values of the Authorization header, or why there is none.
func bearerKey(values []string) (string, keyCheck) {
	if len(values) == 0 {
		return "", keyMissing
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.Trim(key, " \t")
	if len(values) > 1 || key == "" || !strings.EqualFold(scheme, schemeBearer) {
		return "", keyMalformed
	}
	return key, keyValid
}

// newKeyRejection returns the answer to a request whose check ended without a tenant. 401 ends the
// caller's tries, so it is only for what no newer manifest would change.
func newKeyRejection(check keyCheck) *rejection {
	rejected := &rejection{status: http.StatusUnauthorized, why: keyCheckNames[check]}
	switch check {
	case keyBehind, keyUnconfirmed:
		rejected.status = http.StatusServiceUnavailable
		rejected.retryAfter = retryAfterBehind + rand.N(retryAfterBehindSpread)
	default:
		rejected.header = http.Header{headerChallenge: {schemeBearer}}
	}
	if check == keyUnconfirmed {
		rejected.header = http.Header{"Connection": {"close"}} // so that the caller turns to another VM
	}
	return rejected
}

// withheldHeaders returns the names of the headers of callers that are not forwarded by manifest m:
// those that the system sets, and the key if requests need one.
func (e *Engine) withheldHeaders(m *routing.Manifest) []string {
	names := e.headerCodec.ReplacedHeaders()
	if m.KeysRequired {
		names = append(names, headerAuthorization)
	}
	return names
}
