package gwdispatch

import "time"

// Leased returns the number of servers that are leased to this process and not released.
func (d *Dispatcher) Leased() int {
	leased := 0
	for _, s := range *d.servers.Load() {
		s.step(func(st *serverState, now time.Time) {
			if st.listed && now.Before(st.leaseEnd) && !st.released() {
				leased++
			}
		})
	}
	return leased
}
