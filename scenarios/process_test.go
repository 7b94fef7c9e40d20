package scenarios

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

const (
	// stopTimeout limits a graceful shutdown, which waits for the longest request.
	stopTimeout = 40 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 25 * time.Millisecond
)

// role is the program that a process runs, or the stand-in's subcommand.
type role string

const (
	roleObjects role = "objects"
	roleHosts   role = "hosts"
	roleEngine  role = "engine"
	rolePlain   role = "plain"
	roleEntry   role = "entry"
)

// process is a process of a deployment; it can be restarted after its end.
type process struct {
	name    string
	role    role
	command string
	args    []string
	env     []string
	// address, admin and peer are listen addresses as host:port.
	address, admin, peer string
	region, domain       string
	// journal is the journal file of a backend server.
	journal string
	logPath string

	cmd  *exec.Cmd
	done chan struct{}
	// exitStatus is the process state and the time of its end; valid once done is closed.
	exitStatus string
}

// start starts the process; its log is appended to the same file.
func (p *process) start() error {
	if p.running() {
		return fmt.Errorf("%s is running", p.name)
	}
	path, err := exec.LookPath(p.command)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(path, p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// Pdeathsig kills the process also when the test binary ends early, for example by
	// its timeout. The process has its own process group since the kernel sends SIGHUP
	// to stopped processes in a group that becomes orphaned, which happens when the
	// shell that started the tests ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // a killed process returns an error; the state is in exitStatus
		p.exitStatus = fmt.Sprintf("%s at %s", cmd.ProcessState, time.Now().Format(time.TimeOnly))
		close(done)
	}(p.cmd, p.done)
	return nil
}

func (p *process) running() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process; it is an error if the process has ended.
func (p *process) signal(s syscall.Signal) error {
	if !p.running() {
		return fmt.Errorf("%s is not running: %s", p.name, p.exitStatus)
	}
	return p.cmd.Process.Signal(s)
}

func (p *process) wait(limit time.Duration) error {
	select {
	case <-p.done:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("%s did not exit within %s", p.name, limit)
	}
}

// kill sends SIGKILL and waits for the end of the process.
func (p *process) kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	return p.wait(stopTimeout)
}

// terminate shuts the process down with SIGTERM; an exit code other than 0 is an error.
func (p *process) terminate() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := p.wait(stopTimeout); err != nil {
		return err
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		return fmt.Errorf("%s exited with code %d", p.name, code)
	}
	return nil
}

// freeze sends SIGSTOP and waits until the kernel reports the process as stopped.
func (p *process) freeze() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return waitFor(context.Background(), 5*time.Second, func() (bool, string) {
		stat, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "stat"))
		if err != nil {
			return false, err.Error()
		}
		// The state follows the command name, which is in parentheses.
		_, rest, _ := strings.Cut(string(stat), ") ")
		return strings.HasPrefix(rest, "T"), "process state " + rest[:1]
	})
}

func (p *process) url() string { return "http://" + p.address }

// hostEntry returns the host list's record of an entry host.
func (p *process) hostEntry(state platform.HostState, incarnation string) platform.Host {
	return platform.Host{
		ID: p.name, Role: platform.RoleEntry, Address: p.address, PeerAddress: p.peer,
		Region: p.region, Domain: p.domain, State: state, Incarnation: incarnation,
	}
}

// raceReports returns the log from the first data race report or panic on, at
// most 4000 bytes, or "" if there is none.
func (p *process) raceReports() string {
	raw, err := os.ReadFile(p.logPath)
	if err != nil {
		return ""
	}
	at := bytes.Index(raw, []byte("WARNING: DATA RACE"))
	panicAt := bytes.Index(raw, []byte("\npanic: "))
	if at < 0 || panicAt >= 0 && panicAt < at {
		at = panicAt
	}
	if at < 0 {
		return ""
	}
	return string(raw[at:min(len(raw), at+4000)])
}

// logTail returns the last lines of the log without the request log, except for
// requests with a 5xx status.
func (p *process) logTail(lines int) string {
	raw, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	var kept []string
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		if !strings.Contains(line, `"message":"request"`) || strings.Contains(line, `"status":5`) {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept[max(0, len(kept)-lines):], "\n")
}

func newIncarnation() string { return uuid.NewString()[:8] }

// waitFor polls a condition until it holds, ctx is done or limit has passed. check
// also describes the state that it observed, for the error.
func waitFor(ctx context.Context, limit time.Duration, check func() (bool, string)) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		ok, observed := check()
		if ok {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("condition did not hold within %s; last observed: %s", limit, observed)
		}
	}
}

// Guards against stopped processes that receive SIGHUP from the kernel when the
// shell that started the tests ends, which orphans their process group.
func TestProcessesHaveTheirOwnProcessGroup(t *testing.T) {
	p := &process{name: "sleeper", command: "sleep", args: []string{"60"}, logPath: filepath.Join(t.TempDir(), "log")}
	require.NoError(t, p.start())
	defer func() { require.NoError(t, p.kill()) }()
	group, err := syscall.Getpgid(p.cmd.Process.Pid)
	require.NoError(t, err)
	require.Equal(t, p.cmd.Process.Pid, group)
}
