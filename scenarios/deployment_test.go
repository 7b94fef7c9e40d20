package scenarios

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/reservedport"
)

const (
	operatorToken = "scenario-operator-token"
	generationKey = "scenario-generation-key-0123456789"
	engineService = "caption-models"
	plainService  = "order-desk"
	model         = "caption-1"
	// readyTimeout limits the start of a deployment. The slots of a new view are
	// usable after 3.5 s, and processes with the race detector start slowly.
	readyTimeout = 40 * time.Second
	// failureLogLines is the number of log lines of a process that a failed test prints; all
	// rejections of a period without capacity fit in.
	failureLogLines = 60
)

// locations are the failure domains of the entry hosts and backend servers, assigned
// round robin.
var locations = []struct{ domain, region string }{
	{"west-a", "lakes-west"}, {"east-a", "lakes-east"}, {"north-a", "lakes-north"},
}

// deployment holds the processes, callers and records of one script.
type deployment struct {
	env *testscript.Env
	// ts is the running script, set before each command.
	ts   *testscript.TestScript
	work string
	log  *callLog

	processes map[string]*process
	entries   []*process
	backends  []*process
	streams   map[string]*stream
	loads     map[string]*load
	// requests holds the calls that request -as makes in the background.
	requests map[string]chan *callRecord
	marks    map[string]time.Time
	links    *links
	teamKey  string
	// ready holds the entry hosts that passed their latest readiness check.
	ready     atomic.Pointer[[]*process]
	stopReady context.CancelFunc
	// loadCalls is the number of calls of loads, by which the ready hosts take turns.
	loadCalls atomic.Int64
	// releasePorts ends the reservations of the processes' addresses.
	releasePorts []func() error
}

func newDeployment(env *testscript.Env) *deployment {
	return &deployment{
		env: env, work: env.WorkDir, log: &callLog{}, processes: map[string]*process{},
		streams: map[string]*stream{}, loads: map[string]*load{}, requests: map[string]chan *callRecord{}, marks: map[string]time.Time{},
	}
}

// stop ends all callers and processes of the script, whether it passed or failed.
// It fails the test if a process log contains a data race or a panic.
func (d *deployment) stop() {
	for _, l := range d.loads {
		l.cancel()
	}
	for _, s := range d.streams {
		s.cancel()
	}
	if d.stopReady != nil {
		d.stopReady()
	}
	for _, p := range d.processes {
		if p.running() {
			_ = p.cmd.Process.Kill()
			_ = p.wait(stopTimeout)
		}
	}
	if d.links != nil {
		d.links.close()
	}
	for _, release := range d.releasePorts {
		_ = release()
	}
	t, ok := d.env.T().(interface {
		Failed() bool
		Errorf(string, ...any)
		Logf(string, ...any)
	})
	if !ok {
		return
	}
	for name, p := range d.processes {
		if report := p.raceReports(); report != "" {
			t.Errorf("%s: data race or panic:\n%s", name, report)
		}
	}
	if t.Failed() {
		for name, p := range d.processes {
			t.Logf("last log lines of %s:\n%s", name, p.logTail(failureLogLines))
		}
	}
}

// options are the flags of the deployment command. coldLimit and warmLimit are the
// limits in the configuration, which the daemons keep to; engineColdLimit is the one
// above which a cold engine fails all its requests.
type options struct {
	daemons, engines, plains                         int
	coldLimit, warmLimit, engineColdLimit, warmAfter int
	tokenInterval, drainDelay, drainTimeout          time.Duration
	withLinks                                        bool
}

func cmdDeployment(d *deployment, args []string) (string, error) {
	var o options
	fs := flags("deployment")
	fs.IntVar(&o.daemons, "daemons", 3, "number of daemons")
	fs.IntVar(&o.engines, "engines", 3, "number of engines")
	fs.IntVar(&o.plains, "plains", 2, "number of plain services")
	fs.IntVar(&o.coldLimit, "cold-limit", 16, "cold limit of the engine service")
	fs.IntVar(&o.warmLimit, "warm-limit", 16, "warm limit of the engine service")
	fs.IntVar(&o.engineColdLimit, "engine-cold", 2, "concurrency limit of a cold engine")
	fs.IntVar(&o.warmAfter, "warm-after", 0, "completed generations after which an engine is warm; 0 is always warm")
	fs.DurationVar(&o.tokenInterval, "token-interval", 20*time.Millisecond, "time between tokens")
	fs.DurationVar(&o.drainDelay, "drain-delay", time.Second, "drain delay of the daemons")
	fs.DurationVar(&o.drainTimeout, "drain-timeout", 0, "drain timeout of the daemons")
	fs.BoolVar(&o.withLinks, "links", false, "connect daemons to the object API and peers through links that can be cut")
	if err := fs.Parse(args); err != nil {
		return "", err
	}
	if err := d.startPlatform(); err != nil {
		return "", err
	}
	if err := d.startBackends(o); err != nil {
		return "", err
	}
	if err := d.startEntries(o); err != nil {
		return "", err
	}
	if err := d.configure(o); err != nil {
		return "", err
	}
	return "", d.waitServing()
}

// reservePort returns an address that the deployment keeps for one of its processes.
func (d *deployment) reservePort() (string, error) {
	address, release, err := reservedport.TCP()
	if err != nil {
		return "", err
	}
	d.releasePorts = append(d.releasePorts, release)
	return address, nil
}

// add registers a process with the deployment and starts it.
func (d *deployment) add(p *process) error {
	p.logPath = filepath.Join(d.work, p.name+".log")
	d.processes[p.name] = p
	return p.start()
}

func (d *deployment) startPlatform() error {
	for _, r := range []role{roleObjects, roleHosts} {
		address, err := d.reservePort()
		if err != nil {
			return err
		}
		p := &process{name: string(r), role: r, command: "monsoonkeel-standin", address: address, args: []string{string(r), "--listen", address}}
		if err := d.add(p); err != nil {
			return err
		}
		d.ts.Setenv(strings.ToUpper(string(r)), p.url())
	}
	return waitFor(context.Background(), readyTimeout, func() (bool, string) {
		_, err := getJSON[any](d.processes["hosts"].url() + "/hosts")
		_, objectsErr := getJSON[any](d.processes["objects"].url() + "/objects")
		return err == nil && objectsErr == nil, fmt.Sprint(err, objectsErr)
	})
}

func (d *deployment) startBackends(o options) error {
	for i := range o.engines {
		if err := d.addBackend(i, roleEngine, engineService,
			"--token-interval", o.tokenInterval.String(), "--cold-limit", strconv.Itoa(o.engineColdLimit),
			"--warm-after", strconv.Itoa(o.warmAfter)); err != nil {
			return err
		}
	}
	for i := range o.plains {
		if err := d.addBackend(i, rolePlain, plainService); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) addBackend(i int, r role, service string, extra ...string) error {
	address, err := d.reservePort()
	if err != nil {
		return err
	}
	location := locations[i%len(locations)]
	p := &process{
		name: fmt.Sprintf("%s-%d", r, i), role: r, command: "monsoonkeel-standin", address: address, region: location.region, domain: location.domain,
	}
	p.journal = filepath.Join(d.work, p.name+".journal")
	p.args = append([]string{string(r), "--listen", address, "--hosts", d.processes["hosts"].url(), "--id", p.name,
		"--service", service, "--region", location.region, "--domain", location.domain, "--journal-file", p.journal}, extra...)
	d.backends = append(d.backends, p)
	d.ts.Setenv(envName(p.name), p.url())
	return d.add(p)
}

// envName returns the environment variable with a process's URL, ENGINE_0 for engine-0.
func envName(name string) string { return strings.ToUpper(strings.ReplaceAll(name, "-", "_")) }

func (d *deployment) startEntries(o options) error {
	if o.withLinks {
		d.links = newLinks(d)
	}
	for i := range o.daemons {
		location := locations[i%len(locations)]
		p := &process{name: fmt.Sprintf("entry-%d", i), role: roleEntry, command: "monsoonkeeld", region: location.region, domain: location.domain}
		for _, address := range []*string{&p.address, &p.admin, &p.peer} {
			var err error
			if *address, err = d.reservePort(); err != nil {
				return err
			}
		}
		objects, hosts := d.processes["objects"].url(), d.processes["hosts"].url()
		if d.links != nil {
			var err error
			if objects, hosts, err = d.links.attach(p); err != nil {
				return err
			}
		}
		p.env = []string{"MONSOONKEEL_OPERATOR_TOKEN=" + operatorToken, "MONSOONKEEL_GENERATION_KEY=" + generationKey}
		p.args = []string{"--host-id", p.name, "--region", location.region, "--domain", location.domain, "--listen", p.address,
			"--admin-listen", p.admin, "--peer-listen", p.peer, "--object-api", objects, "--host-list", hosts,
			"--drain-delay", o.drainDelay.String(), "--drain-timeout", o.drainTimeout.String()}
		d.entries = append(d.entries, p)
		d.ts.Setenv(envName(p.name), p.url())
		d.ts.Setenv("ADMIN_"+strconv.Itoa(i), "http://"+p.admin)
		if err := d.register(p, platform.HostLive); err != nil {
			return err
		}
		if err := d.add(p); err != nil {
			return err
		}
	}
	d.watchReady()
	return nil
}

// register adds an entry host to the host list with a new incarnation, as the
// platform does.
func (d *deployment) register(p *process, state platform.HostState) error {
	return putJSON(d.processes["hosts"].url()+"/hosts/"+p.name, p.hostEntry(state, newIncarnation()))
}

// deregister removes an entry host from the host list, as the platform does.
func (d *deployment) deregister(p *process) error {
	r, err := http.NewRequest(http.MethodDelete, d.processes["hosts"].url()+"/hosts/"+p.name, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// watchReady polls the readiness of the entry hosts and updates the list of ready
// ones, as the platform's load balancer does.
func (d *deployment) watchReady() {
	ctx, cancel := context.WithCancel(context.Background())
	d.stopReady = cancel
	d.ready.Store(&[]*process{})
	go func() {
		client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		for ctx.Err() == nil {
			var mu sync.Mutex
			var ready []*process
			var wg sync.WaitGroup
			for _, p := range d.entries {
				wg.Go(func() {
					response, err := client.Get("http://" + p.admin + "/readyz")
					if err != nil {
						return
					}
					_ = response.Body.Close()
					if response.StatusCode == http.StatusOK {
						d.checkRevision(p)
						mu.Lock()
						ready = append(ready, p)
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			d.ready.Store(&ready)
			select {
			case <-time.After(100 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}()
}

// checkRevision records a ready host whose configuration revision is older than
// one it had before, also across restarts.
func (d *deployment) checkRevision(p *process) {
	status, err := getJSON[struct {
		Revision uint64 `json:"config_revision"`
		Ready    bool
	}]("http://"+p.admin+"/admin/v1/status", "Authorization", "Bearer "+operatorToken)
	if err != nil || !status.Ready {
		return
	}
	d.log.mu.Lock()
	defer d.log.mu.Unlock()
	if d.log.revisions == nil {
		d.log.revisions = map[string]uint64{}
	}
	if seen := d.log.revisions[p.name]; status.Revision < seen {
		d.log.reverted = append(d.log.reverted, fmt.Sprintf("%s reverted from revision %d to %d", p.name, seen, status.Revision))
	}
	d.log.revisions[p.name] = max(d.log.revisions[p.name], status.Revision)
}

// configure writes the base configuration with monsoonkeelctl, creates a team and
// sets the script's environment for both.
func (d *deployment) configure(o options) error {
	var admins []string
	for _, p := range d.entries {
		admins = append(admins, "http://"+p.admin)
	}
	d.ts.Setenv("MONSOONKEEL_SERVER", strings.Join(admins, "\n"))
	d.ts.Setenv("MONSOONKEEL_TOKEN", operatorToken)
	d.ts.Setenv("USER", "scenario")
	raw, err := json.Marshal(baseConfiguration(o))
	if err != nil {
		return err
	}
	file := filepath.Join(d.work, "base.json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	err = waitFor(context.Background(), readyTimeout, func() (bool, string) {
		_, err := d.ctl("config", "apply", "-f", file)
		return err == nil, fmt.Sprint(err)
	})
	if err != nil {
		return err
	}
	out, err := d.ctl("--output", "json", "team", "create", "lantern", "--default-class", "caption")
	if err != nil {
		return err
	}
	var created struct{ Key string }
	if err := json.Unmarshal(out, &created); err != nil || created.Key == "" {
		return fmt.Errorf("output of team create has no key: %s", out)
	}
	d.teamKey = created.Key
	d.ts.Setenv("TEAM_KEY", created.Key)
	return nil
}

// ctl runs monsoonkeelctl and returns its standard output.
func (d *deployment) ctl(args ...string) ([]byte, error) {
	cmd := exec.Command("monsoonkeelctl", args...)
	cmd.Env = append(os.Environ(), "MONSOONKEEL_SERVER="+d.ts.Getenv("MONSOONKEEL_SERVER"), "MONSOONKEEL_TOKEN="+operatorToken, "USER=scenario")
	out, err := cmd.Output()
	if exit, ok := err.(*exec.ExitError); ok {
		err = fmt.Errorf("%w: %s", err, exit.Stderr)
	}
	return out, err
}

// cmdRace runs two monsoonkeelctl commands concurrently, race ARGS -- ARGS, and
// prints the exit codes in ascending order and both outputs.
func cmdRace(d *deployment, args []string) (string, error) {
	separator := slices.Index(args, "--")
	if separator < 0 {
		return "", fmt.Errorf("usage: race ARGS -- ARGS")
	}
	type runResult struct {
		code int
		text string
	}
	results := make(chan runResult, 2)
	for _, own := range [][]string{args[:separator], args[separator+1:]} {
		go func() {
			out, err := d.ctl(own...)
			code := 0
			var exit *exec.ExitError
			if errors.As(err, &exit) {
				code = exit.ExitCode()
			}
			results <- runResult{code, fmt.Sprintf("%s%v\n", out, err)}
		}()
	}
	a, b := <-results, <-results
	return fmt.Sprintf("exit codes %d %d\n%s%s", min(a.code, b.code), max(a.code, b.code), a.text, b.text), nil
}

func baseConfiguration(o options) *config.Document {
	doc := config.Empty()
	for _, location := range locations {
		doc.Domains[location.domain] = config.Domain{Name: location.domain, Region: location.region, State: config.DomainIn}
	}
	for _, c := range []config.Class{
		{Name: "caption", FirstTokenMS: 1900, Priority: 3, ResumeGraceMS: 5000},
		{Name: "gone", FirstTokenMS: 1900, Priority: 3},
		{Name: "whole", FirstTokenMS: 4000, Priority: 4, Delivery: config.DeliveryBuffered},
		{Name: "title", FirstTokenMS: 4000, Priority: 5},
		{Name: "lookup", FirstTokenMS: 1900, Idempotent: true},
		{Name: "booking", FirstTokenMS: 2000, Order: true},
	} {
		doc.Classes[c.Name] = c
	}
	doc.Services[engineService] = config.Service{
		Name: engineService, Kind: config.ServiceKindEngine, Models: []string{model}, ColdLimit: o.coldLimit, WarmLimit: o.warmLimit,
	}
	doc.Services[plainService] = config.Service{
		Name: plainService, Kind: config.ServiceKindPlain, ColdLimit: 64, WarmLimit: 64,
		Rules: []config.Rule{{Method: "POST", PathPrefix: "/orders", Class: "booking"}, {Method: "GET", Class: "lookup"}},
	}
	return doc
}

// dump holds the fields of a daemon's state dump that the harness reads.
type dump struct {
	Status struct {
		Ready  bool
		Reason string
	}
	Backends []struct {
		ID    string
		Limit int
		Warm  bool
	}
}

func (d *deployment) dump(p *process) (dump, error) {
	return getJSON[dump]("http://"+p.admin+"/admin/v1/dump", "Authorization", "Bearer "+operatorToken)
}

// waitServing waits until every daemon is ready and every backend server has a
// concurrency limit above 0 at some daemon.
func (d *deployment) waitServing() error {
	return waitFor(context.Background(), readyTimeout, func() (bool, string) {
		limits := map[string]int{}
		for _, p := range d.entries {
			state, err := d.dump(p)
			if err != nil || !state.Status.Ready {
				return false, fmt.Sprint(p.name, ": ", err, state.Status.Reason)
			}
			for _, b := range state.Backends {
				limits[b.ID] += b.Limit
			}
		}
		for _, b := range d.backends {
			if limits[b.name] == 0 {
				return false, fmt.Sprint("limits ", limits)
			}
		}
		return true, ""
	})
}

// process returns a process by name.
func (d *deployment) process(name string) (*process, error) {
	if p, ok := d.processes[name]; ok {
		return p, nil
	}
	return nil, fmt.Errorf("no process %q", name)
}

// each runs f for every named process.
func (d *deployment) each(names []string, f func(*process) error) (string, error) {
	for _, name := range names {
		p, err := d.process(name)
		if err == nil {
			err = f(p)
		}
		if err != nil {
			return "", err
		}
	}
	return "", nil
}

// cmdCrash kills processes. It is not named kill, since testscript has a command
// of that name.
func cmdCrash(d *deployment, args []string) (string, error) {
	return d.each(args, func(p *process) error {
		if p.role == roleEntry {
			d.log.recordKill(p.name, time.Now())
		}
		return p.kill()
	})
}

// cmdTerm shuts processes down gracefully. An entry host is marked as leaving in the
// host list before and removed from it afterwards, as the platform does.
func cmdTerm(d *deployment, args []string) (string, error) {
	return d.each(args, func(p *process) error {
		if p.role != roleEntry {
			return p.terminate()
		}
		if err := d.markLeaving(p); err != nil {
			return err
		}
		if err := p.terminate(); err != nil {
			return err
		}
		return d.deregister(p)
	})
}

func (d *deployment) markLeaving(p *process) error {
	list, err := getJSON[struct{ Hosts []platform.Host }](d.processes["hosts"].url() + "/hosts")
	if err != nil {
		return err
	}
	for _, h := range list.Hosts {
		if h.ID == p.name {
			h.State = platform.HostLeaving
			return putJSON(d.processes["hosts"].url()+"/hosts/"+h.ID, h)
		}
	}
	return fmt.Errorf("%s is not in the host list", p.name)
}

// cmdRestart starts processes that have ended and waits until they serve requests,
// unless -no-wait is set.
func cmdRestart(d *deployment, args []string) (string, error) {
	fs := flags("restart")
	noWait := fs.Bool("no-wait", false, "do not wait until the process serves")
	if err := fs.Parse(args); err != nil {
		return "", err
	}
	return d.each(fs.Args(), func(p *process) error {
		if p.role == roleEntry {
			if err := d.register(p, platform.HostLive); err != nil {
				return err
			}
		}
		if err := p.start(); err != nil || *noWait {
			return err
		}
		return waitFor(context.Background(), readyTimeout, func() (bool, string) {
			url := p.url() + "/faults"
			if p.role == roleEntry {
				url = "http://" + p.admin + "/readyz"
			}
			response, err := http.Get(url)
			if err != nil {
				return false, err.Error()
			}
			defer func() { _ = response.Body.Close() }()
			body, _ := io.ReadAll(response.Body)
			return response.StatusCode == http.StatusOK, string(body)
		})
	})
}

func cmdFreeze(d *deployment, args []string) (string, error) {
	return d.each(args, (*process).freeze)
}

func cmdThaw(d *deployment, args []string) (string, error) {
	return d.each(args, func(p *process) error { return p.signal(syscall.SIGCONT) })
}

// cmdFaults replaces the fault switches of a stand-in: faults NAME JSON.
func cmdFaults(d *deployment, args []string) (string, error) {
	if len(args) != 2 {
		return "", fmt.Errorf("usage: faults NAME JSON")
	}
	p, err := d.process(args[0])
	if err != nil {
		return "", err
	}
	return "", putJSON(p.url()+"/faults", json.RawMessage(args[1]))
}

// cmdHosts sets the state of a host in the host list: hosts NAME live|leaving.
func cmdHosts(d *deployment, args []string) (string, error) {
	if len(args) != 2 {
		return "", fmt.Errorf("usage: hosts NAME live|leaving")
	}
	list, err := getJSON[struct{ Hosts []platform.Host }](d.processes["hosts"].url() + "/hosts")
	if err != nil {
		return "", err
	}
	for _, h := range list.Hosts {
		if h.ID == args[0] {
			h.State = platform.HostState(args[1])
			return "", putJSON(d.processes["hosts"].url()+"/hosts/"+h.ID, h)
		}
	}
	return "", fmt.Errorf("%s is not in the host list", args[0])
}

var controlClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func getJSON[T any](url string, header ...string) (T, error) {
	var out T
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return out, err
	}
	if len(header) == 2 {
		r.Header.Set(header[0], header[1])
	}
	response, err := controlClient.Do(r)
	if err != nil {
		return out, err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return out, err
	}
	if response.StatusCode != http.StatusOK {
		return out, fmt.Errorf("GET %s: %d: %s", url, response.StatusCode, raw)
	}
	return out, json.Unmarshal(raw, &out)
}

func putJSON(url string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	response, err := controlClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= 300 {
		body, _ := io.ReadAll(response.Body)
		return fmt.Errorf("PUT %s: %d: %s", url, response.StatusCode, body)
	}
	return nil
}
