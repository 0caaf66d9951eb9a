package edge

import (
	"net/http"

	"github.com/bramleybarrow/bramleybarrow/routing"
	"github.com/bramleybarrow/bramleybarrow/tenant"
)

// origin says on whose behalf a request runs, and how urgent it is.
type origin struct {
	tenant *tenant.Tenant // nil if the manifest names no tenants or the route is anonymous
	rank   int            // 0 is the most urgent
}

// name returns the tenant's name, empty if there is none.
func (o origin) name() string {
	if o.tenant == nil {
		return ""
	}
	return o.tenant.Name
}

// authenticate returns on whose behalf a request on a route runs by manifest m, or a rejection.
func (e *Engine) authenticate(_ *http.Request, _ *routing.Manifest, route *routing.Route) (origin, *rejection) {
	return origin{rank: route.Priority}, nil
}
