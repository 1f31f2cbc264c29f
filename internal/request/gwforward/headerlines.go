//go:build go1.27

package gwforward

import (
	"net/http"
)

func setMaxHeaderValues(server *http.Server, n int) {
	server.MaxHeaderValueCount = n
}
