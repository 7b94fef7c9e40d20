package request

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/internal/boottime"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/crashes"
	"monsoonkeel.example/monsoonkeel/internal/placement"
	"monsoonkeel.example/monsoonkeel/internal/platform"
	"monsoonkeel.example/monsoonkeel/internal/request/gentoken"
	"monsoonkeel.example/monsoonkeel/internal/reservedport"
	"monsoonkeel.example/monsoonkeel/internal/standin"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

const testKey = "lantern-key"

// testGateway is a gateway on the loopback interface with stand-in backend servers.
type testGateway struct {
	t       *testing.T
	hosts   []platform.Host
	servers []*httptest.Server
	gateway *Gateway
	url     string
	// limit is the maximum of requests in flight at each backend server; 0 means 8.
	limit int
	// counters holds the requests in flight at each backend server, by its id.
	counters map[string]*version.Counters
	// reports holds the load report of each backend server, by its id.
	reports map[string]version.Report
	// snapshot replaces the routing snapshot of the gateway if it is not nil.
	snapshot func() *version.Snapshot
	// apply puts a configuration in force; start sets it.
	apply func(*config.Document)

	mu       sync.Mutex
	outcomes []Outcome
	refused  []string
	failed   []string
	// unreachable are the servers reported by ConnectFailed.
	unreachable []string

	refusals, refusalsEnded atomic.Int32
}

// RefusalBegan implements Recorder.
func (r *testGateway) RefusalBegan() { r.refusals.Add(1) }

// RefusalEnded implements Recorder.
func (r *testGateway) RefusalEnded() { r.refusalsEnded.Add(1) }

// Record implements Recorder.
func (r *testGateway) Record(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// ConnectionRefused implements ColdStartReporter.
func (r *testGateway) ConnectionRefused(backend, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = append(r.refused, backend)
}

// ConnectFailed implements ColdStartReporter.
func (r *testGateway) ConnectFailed(backend string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable = append(r.unreachable, backend)
}

// RequestFailed implements ColdStartReporter.
func (r *testGateway) RequestFailed(backend, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = append(r.failed, backend)
}

// IncarnationMismatch implements ColdStartReporter.
func (r *testGateway) IncarnationMismatch(_, _, _ string) {}

// RecordFirstAttempt implements RetryBudget.
func (r *testGateway) RecordFirstAttempt(time.Time) {}

// AcquireRetry implements RetryBudget.
func (r *testGateway) AcquireRetry(time.Time) bool { return true }

func testDocument() *config.Document {
	sum := sha256.Sum256([]byte(testKey))
	doc := config.Empty()
	doc.Classes["caption"] = config.Class{Name: "caption", FirstTokenMS: 1900, TokenGapMS: 52, ResumeGraceMS: 1000}
	doc.Classes["whole"] = config.Class{Name: "whole", FirstTokenMS: 1900, Delivery: config.DeliveryBuffered}
	doc.Classes["lookup"] = config.Class{Name: "lookup", FirstTokenMS: 500, Idempotent: true}
	doc.Classes["patient"] = config.Class{Name: "patient", FirstTokenMS: 60_000}
	doc.Classes["order"] = config.Class{Name: "order", FirstTokenMS: 500, Order: true}
	doc.Classes["write"] = config.Class{Name: "write", FirstTokenMS: 500}
	doc.Teams["lantern"] = config.Team{Name: "lantern", KeyHashes: []string{hex.EncodeToString(sum[:])}, DefaultClass: "caption"}
	small := sha256.Sum256([]byte("small-key"))
	doc.Teams["small"] = config.Team{Name: "small", KeyHashes: []string{hex.EncodeToString(small[:])}, DefaultClass: "caption", MaxInFlight: 4}
	doc.Services["models"] = config.Service{Name: "models", Kind: config.ServiceKindEngine, Models: []string{"m"}, ColdLimit: 2, WarmLimit: 8}
	doc.Services["desk"] = config.Service{Name: "desk", Kind: config.ServiceKindPlain, ColdLimit: 8, WarmLimit: 8}
	return doc
}

// listen returns a listener whose port stays reserved until the process ends. A gateway cancels a generation that can be
// resumed only after the resume grace, when its test may have ended; another test's server must not receive that.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, _, err := reservedport.Listen()
	require.NoError(t, err)
	return l
}

// addBackend starts a stand-in and registers it as a backend server of the service.
func (r *testGateway) addBackend(service string, h http.Handler) *httptest.Server {
	s := &httptest.Server{Listener: listen(r.t), Config: &http.Server{Handler: h}}
	s.Start()
	r.t.Cleanup(s.Close)
	id := fmt.Sprintf("%s-%d", service, len(r.hosts))
	r.hosts = append(r.hosts, platform.Host{
		ID: id, Role: platform.RoleBackend, Service: service, Address: strings.TrimPrefix(s.URL, "http://"),
		Region: "r", Domain: "d", State: platform.HostLive, Incarnation: "i-" + id,
	})
	r.servers = append(r.servers, s)
	return s
}

func newEngine(incarnation string, faults standin.EngineFaults) *standin.Engine {
	return standin.NewEngine(standin.EngineConfig{
		Incarnation: incarnation, TokenInterval: 2 * time.Millisecond, ColdLimit: 100, WarmAfter: 1, Retention: time.Minute, Faults: faults,
	})
}

// build returns the snapshot of a configuration with the registered backend servers.
func (r *testGateway) build(doc *config.Document) *version.Snapshot {
	limit := r.limit
	if limit == 0 {
		limit = 8
	}
	return version.Build(version.Inputs{
		Document: doc,
		Hosts:    r.hosts,
		Reports:  r.reports,
		Counters: func(h platform.Host) *version.Counters { return r.counters[h.ID] },
		Limit:    func(platform.Host) (int, time.Time, bool) { return limit, time.Time{}, true },
		Excluded: func(platform.Host) bool { return false },
	})
}

// start starts a new gateway for the registered backend servers; later calls of do are sent
// to it.
func (r *testGateway) start() string {
	r.counters = map[string]*version.Counters{}
	for _, h := range r.hosts {
		r.counters[h.ID] = &version.Counters{}
	}
	dispatchers := placement.NewTable("r", 1)
	var current atomic.Pointer[version.Snapshot]
	current.Store(r.build(testDocument()))
	var updates sync.Mutex
	update := func() {
		updates.Lock()
		defer updates.Unlock()
		snap, topology, now := current.Load(), placement.Topology{Hosts: 1}, time.Now()
		snap.Services(func(svc *version.Service) {
			dispatchers.Dispatcher(svc.Name, svc.Kind).Update(svc, topology, now)
		})
		dispatchers.Retain(func(name string) bool { _, ok := snap.Service(name); return ok }, topology, now)
	}
	update()
	r.apply = func(doc *config.Document) {
		current.Store(r.build(doc))
		update()
	}
	snapshot := r.snapshot
	if snapshot == nil {
		snapshot = current.Load
	}
	g := &Gateway{
		Dispatchers:      dispatchers,
		Snapshot:         snapshot,
		CheckFreshness:   func(time.Time) error { return nil },
		Pool:             connection.NewPool(),
		Watcher:          connection.NewWatcher(),
		GenerationTokens: gentoken.NewCodec([]byte("0123456789abcdef")),
		RetryBudget:      r, ColdStarts: r, Recorder: r,
		Crashes: crashes.New(crashes.Options{HostID: "host-1", Peers: func() []string { return nil }, Clock: boottime.Now, Log: zerolog.Nop()}),
		Log:     zerolog.Nop(), Now: time.Now, NewID: uuid.NewString,
		Draining:  func() bool { return false },
		HostCount: func() int { return 2 },
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = g.Watcher.Run(ctx) }()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(50 * time.Millisecond)
			update()
		}
	}()
	l := listen(r.t)
	s := &fasthttp.Server{Handler: g.Handler, ErrorHandler: WriteProtocolError, MaxRequestBodySize: 1 << 20}
	go func() { _ = s.Serve(l) }()
	r.t.Cleanup(func() { _ = s.Shutdown(); cancel(); g.Pool.Close() })
	r.gateway = g
	r.url = "http://" + l.Addr().String()
	return r.url
}

func (r *testGateway) do(method, path, body string, headers ...string) *http.Response {
	r.t.Helper()
	resp, err := r.doWithContext(context.Background(), method, path, body, headers...)
	require.NoError(r.t, err)
	return resp
}

func (r *testGateway) doWithContext(ctx context.Context, method, path, body string, headers ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, r.url+path, strings.NewReader(body))
	require.NoError(r.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultClient.Do(req)
}

// streamResult is the part of a stream that the caller received.
type streamResult struct {
	ids     []string
	text    []string
	done    bool
	problem *Problem
}

func readStream(t *testing.T, body io.Reader, atMost int) streamResult {
	t.Helper()
	var s streamResult
	scanner := bufio.NewScanner(body)
	id, event := "", ""
	for scanner.Scan() {
		line := scanner.Text()
		name, value, _ := strings.Cut(line, ": ")
		switch {
		case name == "id":
			id = value
		case name == "event":
			event = value
		case name == "data" && event == "error":
			s.problem = &Problem{}
			require.NoError(t, json.Unmarshal([]byte(value), s.problem))
		case name == "data" && value == "[DONE]":
			s.done = true
		case name == "data" && id != "":
			s.ids = append(s.ids, id)
			s.text = append(s.text, chunkText(t, value))
			id = ""
			if len(s.ids) == atMost {
				return s
			}
		}
	}
	return s
}

func chunkText(t *testing.T, data string) string {
	var chunk struct {
		Choices []struct {
			Text  string `json:"text"`
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	require.NoError(t, json.Unmarshal([]byte(data), &chunk))
	require.Len(t, chunk.Choices, 1)
	return chunk.Choices[0].Text + chunk.Choices[0].Delta.Content
}

// requireTokens requires that the stream has exactly the tokens from..to of one generation.
func (r *testGateway) requireTokens(s streamResult, from, to int) {
	r.t.Helper()
	require.Len(r.t, s.ids, to-from+1)
	token, _, err := gentoken.SplitEventID(s.ids[0])
	require.NoError(r.t, err)
	gen, err := r.gateway.GenerationTokens.Decode("lantern", token)
	require.NoError(r.t, err)
	for i, text := range s.text {
		require.Equal(r.t, fmt.Sprintf("%s:%d", token, from+i), s.ids[i])
		require.Equal(r.t, standin.Token(gen.ID, from+i), text)
	}
}

func streamRequestJSON(tokens int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"prompt":"a b","max_tokens":%d}`, tokens)
}
