package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// host is one process of the system, started with the command of the deploy file.
type host struct {
	name, zone   string
	front, ready string
	ports        int
	metrics      int
	settings     string
	cmd          *exec.Cmd
	exited       chan struct{}
}

// Settings of a small deployment; SYSTEM.md and DEPLOY.md name them.
const boundsText = `limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=134
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=virtual_ip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=1
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=4000
bounds.ack_ms=5000
bounds.sync_s=4
bounds.drain_ms=3000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_ms=3000
bounds.back_ms=250
bounds.skew_max_ms=6000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_slack=58
bounds.cold_over=1.5
bounds.cold_slack=5
bounds.evacuate_ms=5000
bounds.recover_s=12
bounds.max_lag_ms=400
bounds.retry_after_s=6.1
provider.form=objects
provider.writes_per_s=400
provider.reads_per_s=2000
provider.history_s=20
provider.value_bytes=1048576
provider.ttl_min_ms=1000
`

var zones = []string{"west-a", "east-a", "north-a"}

var regionOf = map[string]string{"west-a": "lakes-west", "east-a": "lakes-east", "north-a": "lakes-north"}

// freePort returns a port that is free for TCP and UDP. It is below the ports that the kernel gives to connections.
func freePort() int {
	for range 100 {
		port := 12000 + rand.IntN(18000)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		p, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			_ = p.Close()
			return port
		}
	}
	cannotRun("no free port")
	return 0
}

// newHost writes the settings file of a host in dir.
func newHost(dir, name, zone, storeAddress string) *host {
	h := &host{name: name, zone: zone}
	h.front = fmt.Sprintf("127.0.0.1:%d", freePort())
	h.ready = fmt.Sprintf("127.0.0.1:%d", freePort())
	h.ports, h.metrics = freePort(), freePort()
	var b strings.Builder
	fmt.Fprintf(&b, "node=%s\nrole=entry\nmachine_class=front\nserves=front\nip=127.0.0.1\nzone=%s\nregion=%s\n", name, zone, regionOf[zone])
	for z, region := range regionOf {
		fmt.Fprintf(&b, "zones.%s=%s\n", z, region)
	}
	fmt.Fprintf(&b, "listen.front=%s\nlisten.ready=%s\ninternal_ports=%d,%d\nseeds=\nbootstrap=true\nfault_counted=false\n", h.front, h.ready, h.ports, h.ports)
	fmt.Fprintf(&b, "%sprovider.address=%s\n", boundsText, storeAddress)
	h.settings = filepath.Join(dir, name+".conf")
	if err := os.WriteFile(h.settings, []byte(b.String()), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	return h
}

// start starts the process with the run line of the deploy file.
func (h *host) start(dir string) {
	program := filepath.Join(root, "target", "monsoonkeel-entry")
	h.cmd = exec.Command(program, "--metrics-listen", fmt.Sprintf("127.0.0.1:%d", h.metrics))
	h.cmd.Dir = root
	h.cmd.Env = append(os.Environ(), "MONSOONKEEL_BOOT="+h.settings)
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		cannotRun("%s: %v", h.name, err)
	}
	h.exited = make(chan struct{})
	cmd, exited := h.cmd, h.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	started = append(started, cmd.Process)
}

func (h *host) signal(sig syscall.Signal) {
	record("signal %v to %s", sig, h.name)
	_ = h.cmd.Process.Signal(sig)
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + h.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (h *host) awaitReady() {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if h.isReady() {
			record("%s is ready", h.name)
			return
		}
	}
	cannotRun("%s did not become ready", h.name)
}
