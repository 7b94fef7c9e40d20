// Package standincmd implements the command monsoonkeel-standin. It runs one
// stand-in (test double) for an external system: the object API, the host list,
// a model engine, the weight store or a plain service. It is meant for tests and
// the demo and listens on loopback addresses only.
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

// killedExitCode is the exit code after the fault die_after_tokens; it equals that
// of a process killed by SIGKILL (128+9).
const killedExitCode = 137

// Main runs monsoonkeel-standin with the arguments of the process until SIGTERM
// or SIGINT, and exits with 1 after an error.
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

// commonFlags are the flags of all subcommands.
type commonFlags struct {
	listen       string
	drainTimeout time.Duration
}

func (c *commonFlags) bind(cmd *kingpin.CmdClause) {
	cmd.Flag("listen", "Loopback address and port to listen on; port 0 picks a free one.").Required().StringVar(&c.listen)
	cmd.Flag("drain-timeout", "Time limit for running requests to finish at shutdown.").Default("60s").DurationVar(&c.drainTimeout)
}

// registrationFlags are the flags of the subcommands that run a backend server,
// which can register in the host list.
type registrationFlags struct {
	hosts, id, service, region, domain, incarnation string
	drainDelay                                      time.Duration
	journal                                         string
}

func (r *registrationFlags) bind(cmd *kingpin.CmdClause) {
	cmd.Flag("hosts", "Base URL of the host list stand-in to register with.").StringVar(&r.hosts)
	cmd.Flag("id", "Host id in the host list.").StringVar(&r.id)
	cmd.Flag("service", "Service name in the host list.").StringVar(&r.service)
	cmd.Flag("region", "Region in the host list.").StringVar(&r.region)
	cmd.Flag("domain", "Failure domain in the host list.").StringVar(&r.domain)
	cmd.Flag("incarnation", "Incarnation; random by default.").StringVar(&r.incarnation)
	cmd.Flag("journal-file", "File to which a JSON line is appended when a request starts; it survives a kill.").StringVar(&r.journal)
	cmd.Flag("leave-wait", "Time between the termination notice and the start of the drain.").Default("3s").DurationVar(&r.drainDelay)
}

// openJournal opens the file of --journal-file, or returns nil without the flag.
func (r *registrationFlags) openJournal() (io.Writer, error) {
	if r.journal == "" {
		return nil, nil
	}
	return os.OpenFile(r.journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
}

// resolve validates the flags, chooses an incarnation if none is given and
// returns the registration, or nil without --hosts.
func (r *registrationFlags) resolve(kind string, checksFencing bool) (*standin.Registration, error) {
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
		return nil, fmt.Errorf("--hosts requires %s", strings.Join(missing, ", "))
	}
	return &standin.Registration{
		HostsURL:   strings.TrimRight(r.hosts, "/"),
		DrainDelay: r.drainDelay,
		Host: platform.Host{
			ID: r.id, Role: platform.RoleBackend, Service: r.service, Kind: kind, Region: r.region,
			Domain: r.domain, Incarnation: r.incarnation, ChecksFencing: checksFencing,
		},
	}, nil
}

func run(ctx context.Context, args []string, log zerolog.Logger) error {
	app := kingpin.New("monsoonkeel-standin", "Stand-ins for the external systems of monsoonkeel, for tests and the demo.")
	var common commonFlags
	var reg registrationFlags
	var objectFaults standin.ObjectFaults
	var engine standin.EngineConfig
	var weightRate, weightSize int

	objects := app.Command("objects", "Object API.")
	common.bind(objects)
	objects.Flag("writes-per-second", "Rate limit of writes; 0 for none.").IntVar(&objectFaults.WritesPerSecond)
	objects.Flag("reads-per-second", "Rate limit of reads; 0 for none.").IntVar(&objectFaults.ReadsPerSecond)

	hosts := app.Command("hosts", "Host list.")
	common.bind(hosts)

	engineCmd := app.Command("engine", "Model engine.")
	common.bind(engineCmd)
	reg.bind(engineCmd)
	bindEngineFlags(engineCmd, &engine)

	weights := app.Command("weights", "Weight store.")
	common.bind(weights)
	weights.Flag("rate", "Rate limit of reads per second; 0 for none.").Default("0").IntVar(&weightRate)
	weights.Flag("size", "Size of each model version, in bytes.").Default("4096").IntVar(&weightSize)

	plain := app.Command("plain", "Plain service.")
	common.bind(plain)
	reg.bind(plain)

	command, err := app.Parse(args)
	if err != nil {
		return err
	}
	server := &standin.Server{DrainTimeout: common.drainTimeout, Log: log.With().Str("standin", command).Logger()}
	switch command {
	case objects.FullCommand():
		store := standin.NewObjectAPI(objectFaults)
		server.Handler, server.OnShutdown = store.Handler(), store.Stop
	case hosts.FullCommand():
		server.Handler = standin.NewHostList().Handler()
	case engineCmd.FullCommand():
		server.Registration, err = reg.resolve("engine", engine.ChecksFencing)
		engine.Incarnation = reg.incarnation
		engine.Exit = func() { os.Exit(killedExitCode) }
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
	listener, err := listenLoopback(common.listen)
	if err != nil {
		return err
	}
	return server.Run(ctx, listener)
}

func bindEngineFlags(cmd *kingpin.CmdClause, e *standin.EngineConfig) {
	cmd.Flag("token-interval", "Token gap: time between two tokens of a generation.").Default("20ms").DurationVar(&e.TokenInterval)
	cmd.Flag("cold-first-token", "Additional time to first token of a cold engine.").Default("200ms").DurationVar(&e.ColdFirstToken)
	cmd.Flag("cold-limit", "Concurrent requests that a cold engine sustains.").Default("2").IntVar(&e.ColdLimit)
	cmd.Flag("warm-after", "Completed generations until the engine is warm; 0 for an engine that is always warm.").Default("8").IntVar(&e.WarmAfter)
	cmd.Flag("retention", "Time during which an ended generation can still be resumed.").Default("60s").DurationVar(&e.Retention)
	cmd.Flag("checks-fencing", "Reject control commands with an outdated fencing token.").BoolVar(&e.ChecksFencing)
}

// startEngine starts the engine and its load reports. They continue until the
// process ends, since the drain begins only after ctx has ended.
func startEngine(ctx context.Context, config standin.EngineConfig, server *standin.Server) error {
	if config.TokenInterval <= 0 || config.ColdLimit < 1 || config.WarmAfter < 0 {
		return fmt.Errorf("--token-interval and --cold-limit must be positive and --warm-after not negative")
	}
	engine := standin.NewEngine(config)
	go engine.Run(context.WithoutCancel(ctx))
	server.Handler, server.BeforeLeaving = engine.Handler(), engine.SetLeaving
	return nil
}

// listenLoopback listens on a loopback address. It rejects other addresses, since
// the stand-ins have no authentication.
func listenLoopback(address string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("--listen: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("--listen: %q is not a loopback IP address", host)
	}
	return net.Listen("tcp", address)
}
