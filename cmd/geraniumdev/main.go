// Command geraniumdev runs stand-ins of the systems around geraniumworks, for tests and demonstrations.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

func main() {
	os.Exit(mainCode())
}

// mainCode runs the program and returns its exit code.
func mainCode() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := run(ctx, os.Args[1:])
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return 0
	default:
		fmt.Fprintln(os.Stderr, "geraniumdev:", err)
		return 1
	}
}

// run parses the arguments and runs one stand-in until ctx ends.
func run(ctx context.Context, args []string) error {
	parser := flags.NewNamedParser("geraniumdev", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, short string
		command     any
	}{
		{"store", "Run the store", &storeCommand{ctx: ctx}},
		{"host-list", "Run the host list", &hostListCommand{ctx: ctx}},
		{"server", "Run one backend server", &serverCommand{ctx: ctx}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.short+" on an IP and port until SIGTERM.", c.command); err != nil {
			return err
		}
	}
	_, err := parser.ParseArgs(args)
	return err
}

// listenFlags are the flags that all stand-ins share.
type listenFlags struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"IP and port; port 0 picks a free one"`
}

// serve listens, prints a line with the address and serves until ctx ends.
func (f listenFlags) serve(
	ctx context.Context, name string, serve func(context.Context, net.Listener) error,
) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", f.Listen)
	if err != nil {
		return err
	}
	fmt.Printf("%s listens on %s\n", name, l.Addr())
	return serve(ctx, l)
}
