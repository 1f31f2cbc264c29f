package gwpool

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// hungUp reports whether a connection is closed in both directions, as it is after a reset or a time-out and not when
// the other side alone has closed it. It reports true when the system cannot be asked.
func hungUp(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	fds := make([]unix.PollFd, 1)
	var pollErr error = unix.EINTR
	// Unlike Read and Write of the raw connection, Control does not wait for a write in progress.
	if err := raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		for errors.Is(pollErr, unix.EINTR) {
			_, pollErr = unix.Poll(fds, 0)
		}
	}); err != nil {
		return true
	}
	return pollErr != nil || fds[0].Revents&(unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0
}
