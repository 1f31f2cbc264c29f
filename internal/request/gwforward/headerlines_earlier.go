//go:build !go1.27

package gwforward

import (
	"net/http"
)

// setMaxHeaderValues does nothing: net/http has no such limit before Go 1.27, and the memory budget bounds header
// lines.
func setMaxHeaderValues(*http.Server, int) {}
