package standin2

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"monsoonkeel.example/monsoonkeel/internal/reservedport"
)

// Bounds of the small deployment, as its settings file names them.
const (
	contactTime = 4 * time.Second
	configTime  = 3 * time.Second
	coldOver    = 1.5
	coldSlack   = 5
)

const settingsText = `serves=front
machine_class=front
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=134
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=virtual_ip
heartbeat_ms=1200
bootstrap=true
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform
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

// host is one process of the deploy file's program.
type host struct {
	name, zone, settings  string
	front, ready, metrics string
	cmd                   *exec.Cmd
	exited                chan struct{}
}

// startHost writes the settings of a host in a zone and starts its process as the deploy file does.
func startHost(dir, program, name, zone string, zones []string, storeAddress string) (*host, error) {
	h := &host{name: name, zone: zone, settings: filepath.Join(dir, name+".conf"), exited: make(chan struct{})}
	for _, address := range []*string{&h.front, &h.ready, &h.metrics} {
		a, _, err := reservedport.TCP() // until the process ends
		if err != nil {
			return nil, err
		}
		*address = a
	}
	ip, port := reservedport.UDP()
	var b strings.Builder
	fmt.Fprintf(&b, "node=%s\nrole=entry\nip=%s\nzone=%s\nregion=%s\nlisten.front=%s\nlisten.ready=%s\ninternal_ports=%d,%d\nprovider.address=%s\n%s",
		name, ip, zone, regionOf(zone), h.front, h.ready, port, port, storeAddress, settingsText)
	for _, z := range zones {
		fmt.Fprintf(&b, "zones.%s=%s\n", z, regionOf(z))
	}
	if err := os.WriteFile(h.settings, []byte(b.String()), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	h.cmd = exec.Command(program, "--metrics-listen", h.metrics)
	h.cmd.Env = []string{"MONSOONKEEL_BOOT=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + dir}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = h.cmd.Wait()
		_ = log.Close()
		close(h.exited)
	}()
	return h, nil
}

// regionOf returns the region of a zone: lakes for lakes-a.
func regionOf(zone string) string { return zone[:strings.LastIndexByte(zone, '-')] }

func (h *host) awaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := client.Get("http://" + h.ready + "/v1/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// end kills the process and waits until it is gone.
func (h *host) end() {
	_ = h.cmd.Process.Kill()
	<-h.exited
}
