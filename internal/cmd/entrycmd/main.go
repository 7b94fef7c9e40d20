// Package entrycmd implements the command monsoonkeel-entry, which forwards
// requests on every entry host of the users' platform.
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
	"monsoonkeel.example/monsoonkeel/internal/forward"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
	"monsoonkeel.example/monsoonkeel/platform"
)

// Exit codes after invalid settings and after a failure while running.
const (
	exitSettings = 1
	exitFailure  = 2
)

const (
	// maxQueuedLogLines limits the lines that wait to be written. When the queue is
	// full, new lines overwrite the oldest ones, which are counted as lost.
	maxQueuedLogLines = 1000
	// logWriteInterval is the interval at which queued lines are written.
	logWriteInterval = 50 * time.Millisecond
	// At most logBurst lines are logged per logPeriod.
	logBurst  = 400
	logPeriod = time.Second
)

// Main runs monsoonkeel-entry with the arguments of the process until SIGTERM or
// SIGINT starts a graceful shutdown. SIGHUP reloads the settings file.
func Main() {
	app := kingpin.New("monsoonkeel-entry", "Forwards requests of callers by the routes that operators configure, on an entry host of the platform.")
	settingsPath := app.Flag("settings", "Path of the platform's settings file; "+platform.EnvSettings+" takes precedence.").
		Default(platform.DefaultSettingsPath).String()
	metrics := app.Flag("metrics-listen", "Address for metrics, the state dump and explanations, ip:port; empty to disable.").
		Envar("MONSOONKEEL_METRICS_LISTEN").String()
	level := app.Flag("log-level", "Log level: debug, info, warn or error.").Envar("MONSOONKEEL_LOG_LEVEL").
		Default("info").Enum("debug", "info", "warn", "error")
	peerKeys := app.Flag("peer-keys", "Path of a file with the keys that authenticate messages between hosts, one a line in base64; empty for none.").
		Envar("MONSOONKEEL_PEER_KEYS").String()
	learn := app.Flag("learn-capacity", "Learn the speed of backend servers: auto for the services that state it, on for all, off for none.").
		Envar("MONSOONKEEL_LEARN_CAPACITY").Default(string(forward.LearnAuto)).Enum(string(forward.LearnAuto), string(forward.LearnOn), string(forward.LearnOff))
	check := app.Flag("check", "Validate the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	path := platform.SettingsPath(os.Getenv, *settingsPath)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "monsoonkeel-entry: invalid settings:\n%v\n", err)
		os.Exit(exitSettings)
	}
	keys, err := loadPeerKeys(*peerKeys)
	if err != nil {
		fmt.Fprintf(os.Stderr, "monsoonkeel-entry: invalid keys of the messages between hosts:\n%v\n", err)
		os.Exit(exitSettings)
	}
	if *check {
		return
	}
	settings.LearnCapacity = forward.LearnMode(*learn)
	log, flush := newLog(os.Stdout, *level, settings.HostID)
	err = run(settings, keys, options{settingsPath: path, peerKeysPath: *peerKeys, metricsListen: *metrics}, log)
	if err != nil {
		log.Error().Err(err).Msg("stopped with an error")
	}
	flush()
	if err != nil {
		os.Exit(exitFailure)
	}
}

// newLog returns a logger that never blocks, and a function that writes the
// queued lines and closes the queue. Lines that are lost because the queue is full
// are counted in a log line of their own; lines above the rate limit are dropped
// without a count.
func newLog(out io.Writer, level, host string) (zerolog.Logger, func()) {
	writer := diode.NewWriter(out, maxQueuedLogLines, logWriteInterval, func(lost int) {
		fmt.Fprintf(out, `{"level":"warn","lost_lines":%d,"message":"log queue full"}`+"\n", lost)
	})
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel // unreachable: the flag accepts only known levels
	}
	log := zerolog.New(writer).Level(parsed).With().Timestamp().Str("host", host).Logger().
		Sample(&zerolog.BurstSampler{Burst: logBurst, Period: logPeriod})
	return log, func() { _ = writer.Close() }
}

// loadPeerKeys reads the keys of the messages between hosts. It returns nil without a path.
func loadPeerKeys(path string) (*gossip.Keys, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	keys, err := gossip.ParseKeys(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return keys, nil
}

type options struct{ settingsPath, peerKeysPath, metricsListen string }

func run(settings *entry.Settings, keys *gossip.Keys, o options, log zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	store := platform.NewStore(settings.Store, settings.DomainRegions, log)
	adapter := entry.Adapter{
		Store:          store,
		EvidenceStore:  store,
		RolloutStore:   store,
		StoreMetrics:   &store.Metrics,
		EngineClient:   platform.NewEngineClient(),
		Dialect:        platform.Dialect(),
		ReadyPath:      platform.ReadyPath,
		Reload:         platform.Reloader(o.settingsPath),
		PeerKeys:       keys,
		ReloadPeerKeys: func() (*gossip.Keys, error) { return loadPeerKeys(o.peerKeysPath) },
	}
	return entry.New(settings, adapter, log).Run(ctx, o.metricsListen, reload)
}
