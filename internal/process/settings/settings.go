// Package settings reads the settings of monsoonkeeld from flags and environment
// variables, and validates them.
package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/zerolog"
)

// Environment variables that contain secrets. Flags cannot contain secrets, since other
// users of a host can read command lines.
const (
	EnvOperatorToken = "MONSOONKEEL_OPERATOR_TOKEN"
	EnvGenerationKey = "MONSOONKEEL_GENERATION_KEY"
)

const (
	// minSecretBytes is the minimum length of a secret.
	minSecretBytes = 16
	// maxCells is the maximum of --cells; a fleet of 13,500 hosts needs 55.
	maxCells = 4096
	// maxBodyLimit is the maximum of --max-body in bytes.
	maxBodyLimit = 256 << 20
)

// Settings holds the settings of the daemon; they are valid after Load has returned nil.
type Settings struct {
	HostID, Region, Domain string
	Listen, AdminListen    string
	PeerListen             string
	ObjectAPI              string
	HostList               string
	WeightStore            string
	Cell, Cells            int
	MaxBodyBytes           int
	DrainDelay             time.Duration
	DrainTimeout           time.Duration
	LogLevel               string
	operatorTokenFile      string
	generationKeyFile      string
	tlsCert, tlsKey        string
	peerCert, peerKey      string
	peerCA                 string
	OperatorToken          []byte
	GenerationKey          []byte
	CallerTLS, PeerTLS     *tls.Config
}

// envPrefix is the prefix of the environment variable of each flag.
const envPrefix = "MONSOONKEEL_"

// flag adds a flag that can also be set by an environment variable.
func flag(app *kingpin.Application, name, help string) *kingpin.FlagClause {
	env := envPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	return app.Flag(name, help).Envar(env)
}

// Register adds the flags to app. The returned settings are set when app parses its
// arguments.
func Register(app *kingpin.Application) *Settings {
	s := &Settings{}
	flag(app, "host-id", "Unique id of this host in the host list.").Required().StringVar(&s.HostID)
	flag(app, "region", "Region of this host.").Required().StringVar(&s.Region)
	flag(app, "domain", "Failure domain of this host.").Required().StringVar(&s.Domain)
	flag(app, "listen", "Address for callers, ip:port.").Default("127.0.0.1:8080").StringVar(&s.Listen)
	flag(app, "admin-listen", "Address for operators, metrics and probes, ip:port.").Default("127.0.0.1:8081").StringVar(&s.AdminListen)
	flag(app, "peer-listen", "Address for other daemons, ip:port.").Default("127.0.0.1:8082").StringVar(&s.PeerListen)
	flag(app, "object-api", "Base URL of the platform's object API.").Required().StringVar(&s.ObjectAPI)
	flag(app, "host-list", "Base URL of the platform's host list.").Required().StringVar(&s.HostList)
	flag(app, "weight-store", "Base URL of the platform's weight store; without it, loads are not checked against it.").StringVar(&s.WeightStore)
	flag(app, "cells", "Number of cells that hosts and backend servers are divided into.").Default("1").IntVar(&s.Cells)
	flag(app, "max-body", "Largest request body, in bytes.").Default("8388608").IntVar(&s.MaxBodyBytes)
	flag(app, "drain-delay", "Time between failing readiness and closing the listeners.").Default("3s").DurationVar(&s.DrainDelay)
	flag(app, "drain-timeout", "Longest wait for running requests at shutdown; 0 waits without limit.").Default("0s").DurationVar(&s.DrainTimeout)
	flag(app, "log-level", "debug, info, warn or error.").Default("info").StringVar(&s.LogLevel)
	flag(app, "operator-token-file", "File with the operators' bearer token (or "+EnvOperatorToken+").").StringVar(&s.operatorTokenFile)
	flag(app, "generation-key-file", "File with the key that signs event ids, the same on all hosts (or "+EnvGenerationKey+").").StringVar(&s.generationKeyFile)
	flag(app, "tls-cert", "PEM certificate for callers and operators.").StringVar(&s.tlsCert)
	flag(app, "tls-key", "PEM key of --tls-cert.").StringVar(&s.tlsKey)
	flag(app, "peer-cert", "PEM certificate of this host towards other daemons.").StringVar(&s.peerCert)
	flag(app, "peer-key", "PEM key of --peer-cert.").StringVar(&s.peerKey)
	flag(app, "peer-ca", "PEM certificates that sign the daemons' certificates.").StringVar(&s.peerCA)
	return s
}

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

// Load validates the parsed settings and reads the files that they refer to. It returns
// all errors joined.
func (s *Settings) Load(getenv func(string) string) error {
	return errors.Join(
		checkName("--host-id", s.HostID),
		checkName("--region", s.Region),
		checkName("--domain", s.Domain),
		checkAddress("--listen", s.Listen),
		checkAddress("--admin-listen", s.AdminListen),
		checkAddress("--peer-listen", s.PeerListen),
		checkURL("--object-api", s.ObjectAPI),
		checkURL("--host-list", s.HostList),
		s.checkWeightStore(),
		s.checkNumbers(),
		s.checkLogLevel(),
		s.loadSecrets(getenv),
		s.loadCallerTLS(),
		s.loadPeerTLS(),
	)
}

func checkName(flag, v string) error {
	if !namePattern.MatchString(v) {
		return fmt.Errorf("%s: %q is not a name of 1 to 63 letters, digits, dots, dashes or underscores", flag, v)
	}
	return nil
}

func checkAddress(flag, v string) error {
	host, _, err := net.SplitHostPort(v)
	if err != nil {
		return fmt.Errorf("%s: %w", flag, err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%s: %q is not an IP address", flag, host)
	}
	return nil
}

func checkURL(flag, v string) error {
	u, err := url.Parse(v)
	if err != nil {
		return fmt.Errorf("%s: %w", flag, err)
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return fmt.Errorf("%s: %q is not an http or https URL", flag, v)
	}
	return nil
}

func (s *Settings) checkWeightStore() error {
	if s.WeightStore == "" {
		return nil
	}
	return checkURL("--weight-store", s.WeightStore)
}

func (s *Settings) checkNumbers() error {
	var errs []error
	if s.Cells < 1 || s.Cells > maxCells {
		errs = append(errs, fmt.Errorf("--cells: %d is not between 1 and %d", s.Cells, maxCells))
	}
	if s.MaxBodyBytes < 1 || s.MaxBodyBytes > maxBodyLimit {
		errs = append(errs, fmt.Errorf("--max-body: %d is not between 1 and %d", s.MaxBodyBytes, maxBodyLimit))
	}
	if s.DrainDelay < 0 || s.DrainTimeout < 0 {
		errs = append(errs, errors.New("--drain-delay and --drain-timeout must not be negative"))
	}
	return errors.Join(errs...)
}

func (s *Settings) checkLogLevel() error {
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
		return nil
	}
	return fmt.Errorf("--log-level: %q is not debug, info, warn or error", s.LogLevel)
}

// Level returns the log level, and info if LogLevel is not valid.
func (s *Settings) Level() zerolog.Level {
	l, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return zerolog.InfoLevel
	}
	return l
}

func (s *Settings) loadSecrets(getenv func(string) string) error {
	var tokenErr, keyErr error
	s.OperatorToken, tokenErr = loadSecret("--operator-token-file", s.operatorTokenFile, EnvOperatorToken, getenv)
	s.GenerationKey, keyErr = loadSecret("--generation-key-file", s.generationKeyFile, EnvGenerationKey, getenv)
	return errors.Join(tokenErr, keyErr)
}

// loadSecret reads a secret from the file or, without a file, from the environment
// variable.
func loadSecret(flag, file, env string, getenv func(string) string) ([]byte, error) {
	value := []byte(getenv(env))
	if file != "" {
		b, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", flag, err)
		}
		value = bytes.TrimSpace(b)
	}
	if len(value) < minSecretBytes {
		return nil, fmt.Errorf("%s or %s: a secret of at least %d bytes is required", flag, env, minSecretBytes)
	}
	return value, nil
}

func (s *Settings) loadCallerTLS() error {
	if s.tlsCert == "" && s.tlsKey == "" {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(s.tlsCert, s.tlsKey)
	if err != nil {
		return fmt.Errorf("--tls-cert and --tls-key: %w", err)
	}
	s.CallerTLS = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	return nil
}

func (s *Settings) loadPeerTLS() error {
	if s.peerCert == "" && s.peerKey == "" && s.peerCA == "" {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(s.peerCert, s.peerKey)
	if err != nil {
		return fmt.Errorf("--peer-cert and --peer-key: %w", err)
	}
	pem, err := os.ReadFile(s.peerCA)
	if err != nil {
		return fmt.Errorf("--peer-ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return errors.New("--peer-ca: no certificate found")
	}
	s.PeerTLS = &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
	return nil
}
