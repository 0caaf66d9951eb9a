// Package fairshare orders requests where there is room for only some of them: the more urgent rank
// first, and within a rank the tenants by max-min fairness over their weights. It reads no clock and
// does no I/O.
//
// Each request has a position from 0 to 1: the share of the recent demand that comes before it. How
// much of the demand is served is decided by a Level, from the pressure at what the request needs.
// Requests whose position is above the level are refused.
package fairshare
