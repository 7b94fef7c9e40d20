package request

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/standin"
	"monsoonkeel.example/monsoonkeel/internal/version"
)

var documentChanges = map[string]func(*config.Document){
	"service goes": func(d *config.Document) { delete(d.Services, "models"); delete(d.Services, "desk") },
	"class goes": func(d *config.Document) {
		delete(d.Classes, "caption")
		delete(d.Classes, "lookup")
		delete(d.Classes, "write")
	},
	"team goes":       func(d *config.Document) { delete(d.Teams, "lantern") },
	"everything goes": func(d *config.Document) { *d = *config.Empty() },
	"domain out":      func(d *config.Document) { d.Domains["d"] = config.Domain{Name: "d", State: config.DomainOut} },
	"lower service limit": func(d *config.Document) {
		changeServices(d, func(s *config.Service) { s.WarmLimit, s.ColdLimit = 1, 1 })
	},
	"model moves": func(d *config.Document) {
		changeServices(d, func(s *config.Service) { s.Models = nil })
		d.Services["other"] = config.Service{Name: "other", Kind: config.ServiceKindEngine, Models: []string{"m"}, ColdLimit: 2, WarmLimit: 8}
	},
	"shorter targets": func(d *config.Document) {
		for name, c := range d.Classes {
			c.FirstTokenMS, c.TokenGapMS, c.ResumeGraceMS = 50, 1, 1
			d.Classes[name] = c
		}
	},
	"lower team limit": func(d *config.Document) {
		team := d.Teams["lantern"]
		team.MaxInFlight = 1
		d.Teams["lantern"] = team
	},
}

func changeServices(d *config.Document, change func(*config.Service)) {
	for name, s := range d.Services {
		change(&s)
		d.Services[name] = s
	}
}

// Guards against a request that gets neither a response nor a true rejection beside a change of the
// configuration (issue 26): it is queued, at the backend server or being streamed at that time.
func TestConfigurationChange(t *testing.T) {
	for name, change := range documentChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			doc := testDocument()
			change(doc)
			for _, class := range []string{"lookup", "write"} {
				t.Run("plain/"+class, func(t *testing.T) { changeDuringPlainRequests(t, doc, class) })
			}
			t.Run("stream", func(t *testing.T) { changeDuringStreams(t, doc) })
		})
	}
}

// changeDuringPlainRequests changes the configuration while one request is at the server and others are queued.
func changeDuringPlainRequests(t *testing.T, doc *config.Document, class string) {
	r := &testGateway{t: t, limit: 1}
	var runs atomic.Int32
	open := make(chan struct{})
	release := sync.OnceFunc(func() { close(open) })
	r.addBackend("desk", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerIncarnation, "i-desk-0")
		runs.Add(1)
		<-open
		_, _ = io.WriteString(w, "done")
	}))
	r.start()
	t.Cleanup(release) // runs before the server's own cleanup, which waits for the handler
	initial := testDocument()
	for _, name := range []string{"lookup", "write"} {
		patient := initial.Classes[name]
		patient.FirstTokenMS = 3_000 // longer than the wait below for the queue
		initial.Classes[name] = patient
	}
	r.apply(initial)
	type result struct {
		status int
		body   string
	}
	const queued = 3
	results := make(chan result, queued+1)
	for range queued + 1 {
		go func() {
			resp := r.do("POST", "/services/desk/x", "x", headerClass, class)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			assert.NoError(t, err)
			results <- result{resp.StatusCode, string(body)}
		}()
	}
	require.Eventually(t, func() bool { return runs.Load() == 1 && r.gateway.Dispatchers.Waiting()["desk"] == queued }, 2*time.Second, time.Millisecond)
	r.apply(doc)
	if _, kept := doc.Services["desk"]; !kept {
		for range queued {
			select {
			case got := <-results:
				var problem Problem
				assert.NoError(t, json.Unmarshal([]byte(got.body), &problem), got.body)
				assert.Equal(t, 404, got.status)
				assert.Equal(t, "unknown_service", problem.Title)
				assert.Equal(t, verdict.NotRun, problem.Verdict)
			case <-time.After(10 * time.Second):
				require.Fail(t, "a request still waits for the removed service")
			}
		}
		release()
		require.Equal(t, result{200, "done"}, <-results, "the request at the server is complete")
		assert.EqualValues(t, 1, runs.Load())
		return
	}
	time.Sleep(20 * time.Millisecond)
	release()
	complete := 0
	for range queued + 1 {
		select {
		case got := <-results:
			if got.status == 200 {
				assert.Equal(t, "done", got.body)
				complete++
				continue
			}
			var problem Problem
			assert.NoError(t, json.Unmarshal([]byte(got.body), &problem), got.body)
			assert.Equal(t, 503, got.status)
			assert.Equal(t, verdict.NotRun, problem.Verdict)
		case <-time.After(5 * time.Second):
			require.Fail(t, "a request got no response")
		}
	}
	assert.GreaterOrEqual(t, complete, 1, "the request at the server is complete")
	assert.EqualValues(t, complete, runs.Load(), "rejected requests did not run")
}

// changeDuringStreams changes the configuration while a generation is streamed.
func changeDuringStreams(t *testing.T, doc *config.Document) {
	const tokens = 60
	r := &testGateway{t: t}
	r.addBackend("models", newEngine("i-models-0", standin.EngineFaults{}).Handler())
	r.start()
	resp := r.do("POST", "/v1/completions", streamRequestJSON(tokens))
	defer resp.Body.Close()
	require.Equal(t, 200, resp.StatusCode)
	body := bufio.NewReader(resp.Body)
	_, err := body.Peek(1)
	require.NoError(t, err)
	r.apply(doc)
	s := readStream(t, body, 0)
	require.Nil(t, s.problem)
	require.True(t, s.done)
	r.requireTokens(s, 1, tokens)
}

// Guards against the rejection of a request that each of two configurations allows, because it was checked
// against parts of both (issue 26).
func TestRequestIsCheckedAgainstOneConfiguration(t *testing.T) {
	former, next := testDocument(), testDocument()
	for _, d := range []*config.Document{former, next} {
		class := map[*config.Document]string{former: "former", next: "next"}[d]
		d.Classes[class] = config.Class{Name: class, FirstTokenMS: 500, Idempotent: true}
		changeServices(d, func(s *config.Service) { s.Rules = []config.Rule{{PathPrefix: "/", Class: class}} })
	}
	for reads := 1; reads <= 4; reads++ {
		t.Run(fmt.Sprint("change after read ", reads), func(t *testing.T) {
			r := &testGateway{t: t}
			r.addBackend("desk", standin.NewPlainService("i-desk-0").Handler())
			r.addBackend("models", newEngine("i-models-1", standin.EngineFaults{}).Handler())
			var n atomic.Int32
			r.snapshot = func() *version.Snapshot {
				if int(n.Add(1)) > reads {
					return r.build(next)
				}
				return r.build(former)
			}
			r.start()
			for _, path := range []string{"/services/desk/x", "/v1/completions"} {
				n.Store(0)
				resp := r.do("POST", path, streamRequestJSON(3))
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				require.NoError(t, err)
				assert.Equal(t, 200, resp.StatusCode, "%s: %s", path, body)
			}
		})
	}
}

// Guards against a generation that waits for its whole target although the configuration no longer has its service.
func TestQueuedGenerationOfRemovedServiceIsRejected(t *testing.T) {
	r := &testGateway{t: t, limit: 1}
	r.addBackend("models", newEngine("i-models-0", standin.EngineFaults{}).Handler())
	r.start()
	first := r.do("POST", "/v1/completions", streamRequestJSON(2000))
	defer first.Body.Close()
	require.Equal(t, 200, first.StatusCode)
	status, problem := make(chan int, 1), make(chan Problem, 1)
	go func() {
		resp := r.do("POST", "/v1/completions", streamRequestJSON(3), headerClass, "patient")
		defer resp.Body.Close()
		var p Problem
		assert.NoError(t, json.NewDecoder(resp.Body).Decode(&p))
		status <- resp.StatusCode
		problem <- p
	}()
	require.Eventually(t, func() bool { return r.gateway.Dispatchers.Waiting()["models"] == 1 }, 3*time.Second, time.Millisecond)
	r.apply(config.Empty())
	select {
	case got := <-status:
		require.Equal(t, 404, got)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the request still waits")
	}
	p := <-problem
	require.Equal(t, "unknown_model", p.Title)
	require.Equal(t, verdict.NotRun, p.Verdict)
}

// Guards against a request that is reported as not run, or as one that its caller has to change, although an earlier
// attempt of it may have run.
func TestRetryForRemovedServiceMayHaveRun(t *testing.T) {
	c := &call{maybeSent: true, service: &version.Service{Service: config.Service{Name: "models", Kind: config.ServiceKindEngine}}}
	e := verdict.From(c.serviceRemovedError())
	require.Equal(t, 503, e.Status)
	require.Equal(t, verdict.MayHaveRun, e.Verdict)
}
