// Command demo builds the programs, runs two small registries on loopback addresses, and shows the path of a request.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"
)

type options struct {
	Stay bool `long:"stay" description:"keep the registries running until interrupted, to try them with curl"`
	Logs bool `long:"logs" description:"print the logs of all processes"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", eris.ToString(err, false))
		os.Exit(1)
	}
}

func run(opts options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	dir, err := os.MkdirTemp("", "geraniumworks-demo-")
	if err != nil {
		return eris.Wrap(err, "make a folder for the programs")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fmt.Println("Building the programs")
	if err := build(ctx, dir); err != nil {
		return err
	}
	for _, r := range registries() {
		if ctx.Err() != nil {
			return nil
		}
		if err := r.show(ctx, dir, opts); err != nil {
			return eris.Wrapf(err, "registry %s", r.title)
		}
	}
	return nil
}

func build(ctx context.Context, dir string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir, "./cmd/...") //nolint:gosec // own programs
	cmd.Stderr = os.Stderr
	return eris.Wrap(cmd.Run(), "build")
}

// program returns the path of a built program.
func program(dir, name string) string {
	return filepath.Join(dir, name)
}
