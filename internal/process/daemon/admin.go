package daemon

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/expvarhandler"

	"monsoonkeel.example/monsoonkeel/core/alarm"
	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/view"
	"monsoonkeel.example/monsoonkeel/internal/process/admin"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

// newAdminServer returns the server for the admin API, metrics and health probes.
func (d *Daemon) newAdminServer() *fasthttp.Server {
	api := admin.New(admin.Options{
		Log: d.config, Status: d, Alarms: d, Dump: d, Commands: d.commands, Token: string(d.settings.OperatorToken),
	})
	return &fasthttp.Server{
		Name:                  "monsoonkeel-admin",
		NoDefaultServerHeader: true,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		Logger:                debugLogger{d.log},
		TLSConfig:             d.settings.CallerTLS,
		Handler: func(ctx *fasthttp.RequestCtx) {
			path := string(ctx.Path())
			switch {
			case strings.HasPrefix(path, admin.Prefix):
				api.ServeHTTP(ctx)
			case path == "/healthz":
				ctx.SetBodyString("ok\n")
			case path == "/readyz":
				d.readyz(ctx)
			case path == "/debug/vars":
				expvarhandler.ExpvarHandler(ctx)
			default:
				ctx.Error("not found", fasthttp.StatusNotFound)
			}
		},
	}
}

// readiness reports whether the load balancer should send callers to this host, and
// if not, the reason.
func (d *Daemon) readiness() (ready bool, reason string) {
	switch {
	case d.draining.Load():
		return false, "draining"
	case d.config.Current().Revision == 0:
		return false, "no configuration yet"
	case !d.membership.Freshness(time.Now()).MayServe():
		return false, "configuration not confirmed"
	case d.outOfService():
		return false, "host is drained or its failure domain is out"
	}
	return true, ""
}

// outOfService reports whether operators took this entry host or its failure domain
// out of service.
func (d *Daemon) outOfService() bool {
	return d.config.Current().OutOfService(d.settings.HostID, d.settings.Domain)
}

func (d *Daemon) readyz(ctx *fasthttp.RequestCtx) {
	ready, reason := d.readiness()
	if !ready {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(reason + "\n")
		return
	}
	ctx.SetBodyString("ok\n")
}

// Status is the response to the status command. ConfigAgeMS is -1 if there is no
// configuration confirmation.
type Status struct {
	Host           string          `json:"host"`
	Region         string          `json:"region"`
	Domain         string          `json:"domain"`
	Ready          bool            `json:"ready"`
	Reason         string          `json:"reason,omitempty"`
	ConfigRevision config.Revision `json:"config_revision"`
	ConfigAgeMS    int64           `json:"config_age_ms"`
	ConfigError    string          `json:"config_error,omitempty"`
	Freshness      string          `json:"freshness"`
	ViewEpoch      uint64          `json:"view_epoch"`
	Members        []string        `json:"members"`
	Uptime         string          `json:"uptime"`
	Alarms         int             `json:"alarms"`
}

// Status implements admin.StatusProvider.
func (d *Daemon) Status() any { return d.status() }

func (d *Daemon) status() Status {
	now := time.Now()
	s := Status{
		Host: d.settings.HostID, Region: d.settings.Region, Domain: d.settings.Domain,
		ConfigRevision: d.config.Current().Revision, ConfigAgeMS: -1,
		Freshness: d.membership.Freshness(now).String(),
		Uptime:    now.Sub(d.startedAt).Round(time.Second).String(),
		Alarms:    len(d.recorder.alarms()),
	}
	s.Ready, s.Reason = d.readiness()
	if age, ok := d.config.ConfirmedAge(now); ok {
		s.ConfigAgeMS = age.Milliseconds()
	}
	if err := d.config.LastError(); err != nil {
		s.ConfigError = err.Error()
	}
	v := d.membership.View()
	s.ViewEpoch, s.Members = v.Epoch, v.Members
	return s
}

// Alarms implements admin.AlarmProvider. Without alarms it returns an empty list
// rather than nil, which would encode to null.
func (d *Daemon) Alarms() any { return append([]alarm.Alarm{}, d.recorder.alarms()...) }

// BackendDump is a backend server in the state dump: the limit of this host and the
// last load report.
type BackendDump struct {
	ID          string    `json:"id"`
	Service     string    `json:"service"`
	Domain      string    `json:"domain"`
	Incarnation string    `json:"incarnation"`
	Warm        bool      `json:"warm"`
	Limit       int       `json:"limit"`
	LimitUntil  time.Time `json:"limit_until,omitzero"`
	InFlight    int       `json:"in_flight"`
	Running     int       `json:"reported_running"`
	Waiting     int       `json:"reported_waiting"`
	LoadAgeMS   int64     `json:"load_age_ms"`
}

// Dump is the state dump of the process.
type Dump struct {
	Status   Status          `json:"status"`
	View     view.View       `json:"view"`
	Backends []BackendDump   `json:"backends"`
	Waiting  map[string]int  `json:"waiting"`
	Claims   any             `json:"claims"`
	Excluded []string        `json:"excluded_backends"`
	Config   json.RawMessage `json:"config"`
}

// Dump implements admin.DumpProvider.
func (d *Daemon) Dump() any {
	now := time.Now()
	out := Dump{Status: d.status(), View: d.membership.View(), Waiting: d.dispatchers.Waiting(), Claims: d.claims.Stats(), Excluded: d.routing.excludedIDs()}
	out.Config, _ = json.Marshal(d.config.Current())
	d.snapshot.Load().Services(func(s *version.Service) {
		for _, b := range s.Backends {
			out.Backends = append(out.Backends, BackendDump{
				ID: b.Host.ID, Service: s.Name, Domain: b.Host.Domain, Incarnation: b.Host.Incarnation,
				Warm: b.Warm, Limit: b.CurrentLimit(now), LimitUntil: b.LimitUntil, InFlight: b.Counters.InFlight(),
				Running: b.Load.Running, Waiting: b.Load.Waiting, LoadAgeMS: now.Sub(b.LoadSampledAt).Milliseconds(),
			})
		}
	})
	return out
}

// excludedIDs returns the ids of the excluded backend servers in no particular order.
func (r *routing) excludedIDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids := make([]string, 0, len(r.excluded))
	for id := range r.excluded {
		ids = append(ids, id)
	}
	return ids
}
