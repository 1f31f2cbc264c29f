// Package gwsocket opens TCP connections that end when the other side no longer acknowledges.
package gwsocket

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unacknowledgedTimeout is how long sent data, or a keep-alive probe, may stay without acknowledgement. It covers two
	// lost packets in a row between regions.
	unacknowledgedTimeout = time.Second
	// keepAliveIdle and keepAliveInterval are the smallest values that Linux takes. With the timeout above, the second
	// probe is not waited for: a connection that goes silent while nothing is sent ends within 2 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
)

// Dialer returns a dialer whose connections end within 2 s of going silent: within 1 s where data is on the way, where
// no keep-alive probes are sent. timeout bounds a dial, zero leaves it to the context.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 1,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			if err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(unacknowledgedTimeout.Milliseconds()))
			}); err != nil {
				return err
			}
			return optionErr
		},
	}
}
