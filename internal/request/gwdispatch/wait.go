package gwdispatch

import (
	"time"

	gw "github.com/geraniumworks/geraniumworks"
)

// ExpectedWait returns how long a further request without a key would wait for a slot of the server now, zero when a
// slot is free. The delay by rejections of the server is part of it. It returns ok false when this host is not the
// dispatcher of the server.
func (d *Dispatcher) ExpectedWait(service gw.ServiceName, name gw.ServerName) (wait time.Duration, ok bool) {
	s, found := (*d.servers.Load())[serverKey{service, name}]
	if !found {
		return 0, false
	}
	s.step(func(st *serverState, now time.Time) {
		st.advance(now)
		ok = st.listed
		mean := st.expectedServiceTime(now, st.serviceTimes.estimate(now))
		defer func() { wait += st.rejectionDelay(now, mean) }()
		if free, _ := st.admits(now); free && st.queue.length == 0 {
			return
		}
		wait = st.drainTime(now, st.queue.length, mean)
	})
	return wait, ok
}
