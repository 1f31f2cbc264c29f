package gwcost

import (
	"math/bits"
	"net/http"
	"slices"
	"strconv"
	"strings"

	gw "github.com/geraniumworks/geraniumworks"
)

// knownMethods are the methods that have classes of their own. Callers choose the method, and others could otherwise
// fill the model with classes.
var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	http.MethodOptions,
}

// sizeClassBits is the number of bits by which the sizes of neighbouring size classes differ: a factor of 16.
const sizeClassBits = 4

// ClassOf returns the cost class of a request with a body of the given size, negative when the size is not known.
func ClassOf(route gw.RouteName, method string, bytes int64) gw.CostClass {
	if !slices.Contains(knownMethods, method) {
		method = "other"
	}
	size := "unknown"
	if bytes >= 0 {
		size = strconv.Itoa((bits.Len64(uint64(bytes)) + sizeClassBits - 1) / sizeClassBits)
	}
	return gw.CostClass(method + " " + size + " " + string(route))
}

// routeOf returns the route of a class, empty when the class names none.
func routeOf(class gw.CostClass) gw.RouteName {
	parts := strings.SplitN(string(class), " ", 3)
	return gw.RouteName(parts[len(parts)-1])
}

// Retain drops the classes of routes that no longer exist.
func (m *Model) Retain(exists func(gw.RouteName) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for class := range m.classes {
		if !exists(routeOf(class)) {
			delete(m.classes, class)
		}
	}
}
