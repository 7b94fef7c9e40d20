// Package standincmd is the program of the command monsoonkeel-standin. It runs
// one stand-in for a system around monsoonkeel: the object API, the host list,
// an engine, the weight store or a plain service. It is for tests and the demo
// and listens on loopback only.
package standincmd

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/standin"
)

// diedExitCode is the exit code of the fault die_after_tokens, that of a killed process.
const diedExitCode = 137

// Main runs the program with the process's arguments.
func Main() {
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, os.Args[1:], log); err != nil {
		log.Error().Err(err).Msg("stopped with an error")
		os.Exit(1)
	}
	log.Info().Msg("stopped")
}

// common are the flags of every subcommand.
type common struct {
	listen string
	drain  time.Duration
}

func (c *common) bind(cmd *kingpin.CmdClause) {
	cmd.Flag("listen", "Loopback address and port to listen on; port 0 picks a free one.").Required().StringVar(&c.listen)
	cmd.Flag("drain-timeout", "Time for running requests to finish on a stop.").Default("60s").DurationVar(&c.drain)
}

// registration are the flags of the subcommands that appear in the host list.
type registration struct {
	hosts, id, service, region, domain, incarnation string
	leaveWait                                       time.Duration
	journal                                         string
}

func (r *registration) bind(cmd *kingpin.CmdClause) {
	cmd.Flag("hosts", "Base URL of the host list stand-in to register with.").StringVar(&r.hosts)
	cmd.Flag("id", "Host id in the host list.").StringVar(&r.id)
	cmd.Flag("service", "Service name in the host list.").StringVar(&r.service)
	cmd.Flag("region", "Region in the host list.").StringVar(&r.region)
	cmd.Flag("domain", "Failure domain in the host list.").StringVar(&r.domain)
	cmd.Flag("incarnation", "Incarnation; random if absent.").StringVar(&r.incarnation)
	cmd.Flag("journal-file", "File to append a JSON line to for each request that starts; it survives a kill.").StringVar(&r.journal)
	cmd.Flag("leave-wait", "Time between the leaving mark and the drain.").Default("3s").DurationVar(&r.leaveWait)
}

// openJournal returns the journal file, or nil without --journal-file.
func (r *registration) openJournal() (io.Writer, error) {
	if r.journal == "" {
		return nil, nil
	}
	return os.OpenFile(r.journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
}

// resolve checks the flags, fills in the incarnation and returns the
// registration, or nil without --hosts.
func (r *registration) resolve(kind string, checksFencing bool) (*standin.Registration, error) {
	if r.incarnation == "" {
		r.incarnation = uuid.NewString()
	}
	if r.hosts == "" {
		return nil, nil
	}
	var missing []string
	for _, flag := range [][2]string{{"--id", r.id}, {"--service", r.service}, {"--region", r.region}, {"--domain", r.domain}} {
		if flag[1] == "" {
			missing = append(missing, flag[0])
		}
	}
	if len(missing) > 0 {
		return nil, fmt.Errorf("--hosts needs %s", strings.Join(missing, ", "))
	}
	return &standin.Registration{
		HostsURL:   strings.TrimRight(r.hosts, "/"),
		DrainDelay: r.leaveWait,
		Host: platform.Host{
			ID: r.id, Role: platform.RoleBackend, Service: r.service, Kind: kind, Region: r.region,
			Domain: r.domain, Incarnation: r.incarnation, ChecksFencing: checksFencing,
		},
	}, nil
}

func run(ctx context.Context, args []string, log zerolog.Logger) error {
	app := kingpin.New("monsoonkeel-standin", "Stand-ins for the systems around monsoonkeel, for tests and the demo.")
	var c common
	var reg registration
	var objectFaults standin.ObjectFaults
	var engine standin.EngineConfig
	var weightRate, weightSize int

	objects := app.Command("objects", "Object API.")
	c.bind(objects)
	objects.Flag("writes-per-second", "Rate of writes; 0 is unlimited.").IntVar(&objectFaults.WritesPerSecond)
	objects.Flag("reads-per-second", "Rate of reads; 0 is unlimited.").IntVar(&objectFaults.ReadsPerSecond)

	hosts := app.Command("hosts", "Host list.")
	c.bind(hosts)

	engineCmd := app.Command("engine", "Model engine.")
	c.bind(engineCmd)
	reg.bind(engineCmd)
	bindEngine(engineCmd, &engine)

	weights := app.Command("weights", "Weight store.")
	c.bind(weights)
	weights.Flag("rate", "Reads per second; 0 is unlimited.").Default("0").IntVar(&weightRate)
	weights.Flag("size", "Bytes per model version.").Default("4096").IntVar(&weightSize)

	plain := app.Command("plain", "Plain service.")
	c.bind(plain)
	reg.bind(plain)

	command, err := app.Parse(args)
	if err != nil {
		return err
	}
	server := &standin.Server{DrainTimeout: c.drain, Log: log.With().Str("standin", command).Logger()}
	switch command {
	case objects.FullCommand():
		store := standin.NewObjectAPI(objectFaults)
		server.Handler, server.OnShutdown = store.Handler(), store.Stop
	case hosts.FullCommand():
		server.Handler = standin.NewHostList().Handler()
	case engineCmd.FullCommand():
		server.Registration, err = reg.resolve("engine", engine.ChecksFencing)
		engine.Incarnation = reg.incarnation
		engine.Exit = func() { os.Exit(diedExitCode) }
		if err == nil {
			engine.Journal, err = reg.openJournal()
		}
		if err == nil {
			err = startEngine(ctx, engine, server)
		}
	case weights.FullCommand():
		if weightSize < 0 {
			err = fmt.Errorf("--size must not be negative")
		} else {
			server.Handler = standin.NewWeightStore(weightRate, weightSize).Handler()
		}
	case plain.FullCommand():
		server.Registration, err = reg.resolve("plain", false)
		service := standin.NewPlainService(reg.incarnation)
		if err == nil {
			service.Journal, err = reg.openJournal()
		}
		server.Handler, server.BeforeLeaving = service.Handler(), service.SetLeaving
	}
	if err != nil {
		return err
	}
	listener, err := listenLoopback(c.listen)
	if err != nil {
		return err
	}
	return server.Run(ctx, listener)
}

func bindEngine(cmd *kingpin.CmdClause, e *standin.EngineConfig) {
	cmd.Flag("token-interval", "Time between tokens.").Default("20ms").DurationVar(&e.TokenInterval)
	cmd.Flag("cold-first-token", "Additional time to the first token while cold.").Default("200ms").DurationVar(&e.ColdFirstToken)
	cmd.Flag("cold-limit", "Concurrent requests that a cold engine can handle.").Default("2").IntVar(&e.ColdLimit)
	cmd.Flag("warm-after", "Completed generations until warm; 0 starts warm and never turns cold.").Default("8").IntVar(&e.WarmAfter)
	cmd.Flag("retention", "Time for which an ended generation can be resumed.").Default("60s").DurationVar(&e.Retention)
	cmd.Flag("checks-fencing", "Refuse control commands with an old fencing number.").BoolVar(&e.ChecksFencing)
}

// startEngine starts the engine's load reports. They continue during the
// drain, which ctx does not cover, until the process ends.
func startEngine(ctx context.Context, config standin.EngineConfig, server *standin.Server) error {
	if config.TokenInterval <= 0 || config.ColdLimit < 1 || config.WarmAfter < 0 {
		return fmt.Errorf("--token-interval and --cold-limit must be positive and --warm-after not negative")
	}
	engine := standin.NewEngine(config)
	go engine.Run(context.WithoutCancel(ctx))
	server.Handler, server.BeforeLeaving = engine.Handler(), engine.SetLeaving
	return nil
}

// listenLoopback refuses other addresses, since the stand-ins have no
// authentication.
func listenLoopback(address string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("--listen: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("--listen: %q is no loopback IP address", host)
	}
	return net.Listen("tcp", address)
}
