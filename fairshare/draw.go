package fairshare

import "time"

// drawPeriod is the time for which a request has the same draw.
const drawPeriod = 250 * time.Millisecond

// Draw returns a number from 0 to 1 for Position. VMs that see the same request at the same time get
// the same number, so that they refuse the same ones. A request that comes again later gets another
// number.
func Draw(id string, now time.Time) float64 {
	const (
		offset = 14695981039346656037 // FNV-1a, 64 bits
		prime  = 1099511628211
	)
	h := uint64(offset)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * prime
	}
	h = (h ^ uint64(now.UnixNano()/int64(drawPeriod))) * prime
	// The high bits of FNV-1a depend little on the last bytes; a finalizer spreads them.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}
