// Command geraniumworks runs one entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	"github.com/geraniumworks/geraniumworks/internal/process/gwhost"
	"github.com/geraniumworks/geraniumworks/internal/process/gwlog"
	"github.com/geraniumworks/geraniumworks/internal/process/gwsettings"
	"github.com/geraniumworks/geraniumworks/internal/version/gwconfig"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	os.Exit(mainCode(os.Args[1:], os.Stdout, os.Stderr))
}

// settingsFlags are the flags of all commands.
type settingsFlags struct {
	Settings string `long:"settings" env:"GERANIUMWORKS_SETTINGS" description:"settings file, JSON with comments"`

	gwsettings.Overrides
}

type runCommand struct {
	settingsFlags

	ctx    context.Context
	stdout io.Writer
	// hangups receives SIGHUP, which says that the settings have changed.
	hangups <-chan os.Signal
}

// Execute implements flags.Commander.
func (c *runCommand) Execute([]string) error {
	settings, err := gwsettings.Load(c.Settings, c.Overrides)
	if err != nil {
		return err
	}
	var options []gwhost.Option
	if settings.Platform.StoreEndpoint != "" {
		debug.SetGCPercent(platformGCPercent)
		options = append(options, gwhost.WithBackend(platformBackend(settings)))
	}
	if limit := settings.MemoryLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	log := settings.NewLog(c.stdout)
	options = append(options, gwhost.WithCollectors(log.Collector()))
	host, err := gwhost.New(settings, slog.New(log), options...)
	if err != nil {
		return err
	}
	// Lines are written until the host has stopped, which is later than the end of c.ctx.
	ctx, cancel := context.WithCancel(context.Background())
	written, reloadEnded := make(chan error, 1), make(chan struct{})
	go func() { written <- log.Run(ctx) }()
	go func() {
		defer close(reloadEnded)
		c.reload(ctx, host, log)
	}()
	err = host.Run(c.ctx)
	cancel()
	<-reloadEnded
	if lerr := <-written; err == nil {
		err = lerr
	}
	return err
}

// reload reads the settings again at each SIGHUP until ctx ends.
func (c *runCommand) reload(ctx context.Context, host *gwhost.Host, log *gwlog.Log) {
	for {
		select {
		case <-c.hangups:
			settings := host.Reload(func() (gwsettings.Settings, error) { return gwsettings.Load(c.Settings, c.Overrides) })
			log.SetLevel(settings.LogLevel())
		case <-ctx.Done():
			return
		}
	}
}

type checkCommand struct {
	settingsFlags

	stdout io.Writer
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	settings, err := gwsettings.Load(c.Settings, c.Overrides)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.stdout, "settings of host %s in data centre %s are valid\n", settings.Host, settings.DataCentre)
	return err
}

// mainCode runs the program and returns its exit code: 0 after a planned stop, 1 after a failure, and 2 when the
// command line or the settings are wrong.
func mainCode(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// Remains set until the process has ended, because the default action of SIGHUP ends it at once.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// Otherwise a write to standard output or standard error ends the process when nobody reads it.
	signal.Ignore(syscall.SIGPIPE)
	parser := flags.NewNamedParser("geraniumworks", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, short, long string
		command           any
	}{
		{
			"run", "Run this host", "Runs this host until SIGTERM, and then stops as planned. Reads the settings again at " +
				"SIGHUP. Example:\n" +
				"  geraniumworks run --settings /etc/geraniumworks/settings.json",
			&runCommand{ctx: ctx, stdout: stdout, hangups: hangups},
		},
		{
			"check-settings", "Check settings", "Checks the settings without opening a connection. Example:\n" +
				"  geraniumworks check-settings --settings settings.json --host entry-1",
			&checkCommand{stdout: stdout},
		},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			_, _ = fmt.Fprintln(stderr, "geraniumworks:", err)
			return exitFailure
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err, stdout, stderr)
}

func exitCode(err error, stdout, stderr io.Writer) int {
	var usage *flags.Error
	var wrong gwconfig.Errors
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(stderr, "geraniumworks:", usage.Message)
		return exitSettings
	case errors.As(err, &wrong):
		_, _ = fmt.Fprintln(stderr, wrong.Error())
		return exitSettings
	default:
		_, _ = fmt.Fprintln(stderr, "geraniumworks:", eris.ToString(err, false))
		return exitFailure
	}
}
