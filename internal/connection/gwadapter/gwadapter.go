// Package gwadapter holds what the adapters to outside systems share.
package gwadapter

import (
	"errors"
	"net/netip"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
)

// Counter registers a counter and returns it, or the one that an adapter has registered before under the same name.
// Without a registerer the counter is kept but not registered.
func Counter(r prometheus.Registerer, counter *prometheus.CounterVec) (*prometheus.CounterVec, error) {
	if r == nil {
		return counter, nil
	}
	if err := r.Register(counter); err != nil {
		var registered prometheus.AlreadyRegisteredError
		if !errors.As(err, &registered) {
			return nil, err
		}
		if existing, ok := registered.ExistingCollector.(*prometheus.CounterVec); ok {
			return existing, nil
		}
		return nil, err
	}
	return counter, nil
}

// CheckEndpoints returns bad, with the cause, when there is no endpoint or one is not an IP and port.
func CheckEndpoints(endpoints []string, bad error) error {
	if len(endpoints) == 0 {
		return eris.Wrap(bad, "no endpoint")
	}
	for _, endpoint := range endpoints {
		if _, err := netip.ParseAddrPort(endpoint); err != nil {
			return eris.Wrapf(bad, "endpoint %q: %v", endpoint, err)
		}
	}
	return nil
}
