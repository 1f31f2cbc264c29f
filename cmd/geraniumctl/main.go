// Command geraniumctl is the operators' tool: it checks, publishes and explains configuration, takes things out of
// service, and reads the audit trail.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"os/user"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rotisserie/eris"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/version/gwpublish"
)

// globalOptions apply to every command.
type globalOptions struct {
	Store   string        `long:"store" env:"GERANIUMCTL_STORE" value-name:"ADDRESS" description:"IP and port of the store"`
	Admin   string        `long:"admin" env:"GERANIUMCTL_ADMIN" value-name:"URL" description:"operators' listener of any host, as in http://10.0.0.1:9100"`
	As      string        `long:"as" env:"GERANIUMCTL_AS" value-name:"NAME" description:"who acts, for the audit trail (default: the user's name)"`
	From    string        `long:"from" env:"GERANIUMCTL_FROM" value-name:"MACHINE" description:"from where, for the audit trail (default: this machine's name)"`
	Output  string        `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout time.Duration `long:"timeout" default:"60s" description:"bound on the store's and hosts' answers"`
	Debug   bool          `long:"debug" description:"print a stack trace with an error"`
}

// app is what the commands share.
type app struct {
	globalOptions
	out, err io.Writer
	ctx      context.Context
}

// clock gives the times in the audit trail. Tests replace it.
var clock gw.Clock = gw.SystemClock{}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	a := &app{out: stdout, err: stderr}
	parser := flags.NewNamedParser("geraniumctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "operators' tool of geraniumworks"
	parser.LongDescription = overview
	if _, err := parser.AddGroup("Global options", "", &a.globalOptions); err != nil {
		return a.fail(err)
	}
	for _, c := range a.commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return a.fail(err)
		}
	}
	parser.CommandHandler = func(command flags.Commander, args []string) error {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		ctx, cancel := context.WithTimeout(ctx, a.Timeout)
		defer cancel()
		a.ctx = ctx
		if len(args) > 0 {
			return usagef("unexpected argument %q", args[0])
		}
		return command.Execute(args)
	}
	_, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) {
		if flagsErr.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, flagsErr.Message)
			return exitOK
		}
	}
	if err != nil && a.ctx == nil {
		// The command was not started, because its arguments could not be read.
		err = usagef("%s", err.Error())
	}
	return a.fail(err)
}

// store opens the store.
func (a *app) store() (gw.Store, error) {
	if a.Store == "" {
		return nil, usagef("no store is given; use --store ADDRESS or GERANIUMCTL_STORE")
	}
	return openStore(a.Store)
}

// publisher returns a publisher that acts as the user.
func (a *app) publisher() (*gwpublish.Publisher, error) {
	store, err := a.store()
	if err != nil {
		return nil, err
	}
	by, from := a.As, a.From
	if by == "" {
		if u, err := user.Current(); err == nil {
			by = u.Username
		}
	}
	if by == "" {
		return nil, usagef("the user has no name; use --as NAME")
	}
	if from == "" {
		from, _ = os.Hostname()
	}
	return gwpublish.New(
		gwpublish.WithStore(store), gwpublish.WithPublisher(by, from), gwpublish.WithClock(clock),
	), nil
}

// state reads the configuration in force.
func (a *app) state() (gwpublish.State, error) {
	p, err := a.publisher()
	if err != nil {
		return gwpublish.State{}, err
	}
	state, err := p.State(a.ctx)
	if err == nil && state.Manifest.Version == 0 {
		return state, eris.Wrap(gw.ErrNotFound, "no configuration was published yet")
	}
	return state, err
}
