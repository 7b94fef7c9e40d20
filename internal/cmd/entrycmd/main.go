// Package entrycmd is the program of the command monsoonkeel-entry, which runs
// on every entry host of the users' platform.
package entrycmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"monsoonkeel.example/monsoonkeel/internal/entry"
	"monsoonkeel.example/monsoonkeel/platform"
)

// Exit codes.
const (
	exitSettings = 1
	exitFailure  = 2
)

const (
	// logQueueLines bounds the lines that wait to be written; further ones
	// replace the oldest and are counted.
	logQueueLines = 1000
	// logPollInterval is how often waiting lines are written.
	logPollInterval = 50 * time.Millisecond
	// logBurst and logPeriod bound the volume of the log.
	logBurst  = 400
	logPeriod = time.Second
)

// Main runs the program with the process's arguments.
func Main() {
	app := kingpin.New("monsoonkeel-entry", "Forwards callers' requests by the operators' routes on an entry host of the platform.")
	settingsPath := app.Flag("settings", "Path of the platform's settings file; "+platform.EnvSettings+" goes first.").
		Default(platform.DefaultSettingsPath).String()
	metrics := app.Flag("metrics-listen", "Address for metrics and the state dump, ip:port; empty for none.").
		Envar("MONSOONKEEL_METRICS_LISTEN").String()
	level := app.Flag("log-level", "debug, info, warn or error.").Envar("MONSOONKEEL_LOG_LEVEL").
		Default("info").Enum("debug", "info", "warn", "error")
	check := app.Flag("check", "Check the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	path := platform.SettingsPath(os.Getenv, *settingsPath)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "monsoonkeel-entry: invalid settings:\n%v\n", err)
		os.Exit(exitSettings)
	}
	if *check {
		return
	}
	log, flush := newLog(os.Stdout, *level, settings.HostID)
	err = run(settings, path, *metrics, log)
	if err != nil {
		log.Error().Err(err).Msg("stopped with an error")
	}
	flush()
	if err != nil {
		os.Exit(exitFailure)
	}
}

// newLog returns a logger that never blocks: lines beyond its bounds are lost
// and counted.
func newLog(out io.Writer, level, host string) (zerolog.Logger, func()) {
	queue := diode.NewWriter(out, logQueueLines, logPollInterval, func(lost int) {
		fmt.Fprintf(out, `{"level":"warn","lost_lines":%d,"message":"log queue full"}`+"\n", lost)
	})
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel // the flag admits known levels only
	}
	log := zerolog.New(queue).Level(parsed).With().Timestamp().Str("host", host).Logger().
		Sample(&zerolog.BurstSampler{Burst: logBurst, Period: logPeriod})
	return log, func() { _ = queue.Close() }
}

func run(settings *entry.Settings, path, metrics string, log zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	adapter := entry.Adapter{
		Store:        platform.NewStore(settings.Store, settings.DomainRegions, log),
		EngineClient: platform.NewEngineClient(),
		Dialect:      platform.Dialect(),
		ReadyPath:    platform.ReadyPath,
		Reload:       platform.Reloader(path),
	}
	return entry.New(settings, adapter, log).Run(ctx, metrics, reload)
}
