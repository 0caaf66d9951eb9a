package leafhttp

import (
	"net/http"
	"strconv"
	"strings"
)

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header, in
// seconds, and whether the header has a valid one.
func keepAliveTimeout(h http.Header) (int, bool) {
	for _, param := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(value))
		return n, err == nil && n >= 0
	}
	return 0, false
}
