package edge

import "github.com/bramleybarrow/bramleybarrow/tenant"

// origin says on whose behalf a request runs, and how urgent it is.
type origin struct {
	tenant *tenant.Tenant // nil if the manifest names no tenants or the route is anonymous
	rank   int            // 0 is the most urgent
	keyed  bool           // the manifest names tenants, so that requests need keys
}

// name returns the tenant's name, empty if there is none.
func (o origin) name() string {
	if o.tenant == nil {
		return ""
	}
	return o.tenant.Name
}

// logFields returns the fields of the origin for the log line of a request, none if the manifest
// names no tenants.
func (o origin) logFields() []any {
	if !o.keyed {
		return nil
	}
	return []any{"tenant", o.name(), "rank", o.rank}
}
