package gwentry

import (
	"net/http"
	"net/url"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwforward"
)

// RouteOf returns the route that a request with the host and the path would take. The path may have a query.
func RouteOf(cfg gw.Config, host, path string) (gw.Route, bool) {
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return gw.Route{}, false
	}
	return newConfigIndex(cfg).route(host, gwforward.ReceivedPath(u, path))
}

// KeyOf returns the key that a request with the path and its query would carry on the route, or the refusal for a
// request without a key there.
func KeyOf(route gw.Route, method, path string) (string, *gw.Refusal) {
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return "", gw.Refuse(gw.ReasonBadRequest, "the path is not valid")
	}
	return requestKey(route, &http.Request{Method: method, URL: u, Header: http.Header{}}, gwforward.ReceivedPath(u, path))
}
