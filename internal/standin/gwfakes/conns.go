package gwfakes

import (
	"bufio"
	"net"
)

// ServeConns runs serve for each connection that l accepts and closes the connection when serve returns. It returns
// when l is closed. It is for servers whose answers http.Server would not send.
func ServeConns(l net.Listener, serve func(conn net.Conn, in *bufio.Reader)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			serve(conn, bufio.NewReader(conn))
		}()
	}
}
