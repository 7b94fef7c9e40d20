// Package daemoncmd implements the command monsoonkeeld, the daemon that runs on
// every entry host.
package daemoncmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/internal/process/daemon"
	"monsoonkeel.example/monsoonkeel/internal/process/settings"
)

// Exit codes after invalid settings and after a failure while running.
const (
	exitSettings = 1
	exitFailure  = 2
)

// Main runs monsoonkeeld with the arguments of the process until SIGTERM or
// SIGINT starts a graceful shutdown. Errors end the process with an exit code.
func Main() {
	app := kingpin.New("monsoonkeeld", "Routes requests of callers to model engines and plain services, on an entry host.")
	s := settings.Register(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := s.Load(os.Getenv); err != nil {
		fmt.Fprintf(os.Stderr, "monsoonkeeld: invalid settings:\n%v\n", err)
		os.Exit(exitSettings)
	}
	log := zerolog.New(os.Stderr).Level(s.Level()).With().Timestamp().Str("host", s.HostID).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(s, log)
	if err == nil {
		err = d.Run(ctx)
	}
	if err != nil {
		log.Error().Err(err).Msg("stopped with an error")
		os.Exit(exitFailure)
	}
}
