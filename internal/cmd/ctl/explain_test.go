package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/internal/forward"
)

// Guards against a command that asks about another request, hides the reasons or the ages, needs a token, or exits with 0 on an error.
func TestExplain(t *testing.T) {
	age := int64(120)
	answer := forward.ExplainResult{
		HostID: "entry-1", Outcome: forward.OutcomeSent, Reason: "chosen", Chosen: "e1", Route: "chat", Kind: forward.KindGeneration, Service: "model",
		Services: []forward.ExplainService{{Name: "model", Weight: 3}}, DeadlineMS: 9000, ConfigAgeMS: &age, PlacedByGroup: true, Aggregator: "entry-4",
		Candidates: []forward.ExplainCandidate{
			{ID: "e1", Chosen: true, Cost: &balance.Cost{Total: 0.25, Load: 0.2, Distance: 0.05}, Own: balance.Load{Requests: 2, Tokens: 50}},
			{ID: "e2", Excluded: []balance.Exclusion{balance.ExcludedRefusing, balance.ExcludedKVFull}, RefusesForMS: 1500},
		},
	}
	var asked []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = append(asked, r.Method+" "+r.URL.String())
		if r.URL.Query().Get("team") == "bad" {
			http.Error(w, "parameter team is wrong", http.StatusBadRequest)
			return
		}
		assert.NoError(t, json.NewEncoder(w).Encode(answer))
	}))
	address := strings.TrimPrefix(server.URL, "http://")
	t.Setenv("MONSOONKEEL_TOKEN", "")
	explain := func(args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		code := run(append([]string{"explain", "--entry-metrics", address, "--host", "api.example", "--path", "/chat?x=1"}, args...), &out, &errOut)
		return code, out.String(), errOut.String()
	}

	code, out, errOut := explain("--prompt-tokens", "700", "--output-tokens", "90")
	require.Equal(t, exitOK, code, errOut)
	assert.Equal(t, []string{"GET /explain?host=api.example&output_tokens=90&path=%2Fchat%3Fx%3D1&prompt_tokens=700"}, asked)
	assert.Regexp(t, `(?s)sent to e1\n.*chat \(generation, priority 0, deadline after 9s\).*model weight 3.*aggregator entry-4.*confirmed 120ms ago.*news of other hosts +never`, out)
	assert.Regexp(t, `e1 .*chosen +0\.250 .*2/50/0 .*\ne2 .*refuses for 1\.5s, kv_cache_full`, out)

	code, out, errOut = explain("--output", "json")
	require.Equal(t, exitOK, code, errOut)
	var decoded forward.ExplainResult
	require.NoError(t, json.Unmarshal([]byte(out), &decoded))
	assert.Equal(t, answer, decoded)

	code, _, errOut = explain("--team", "bad")
	assert.Equal(t, exitRejected, code)
	assert.Contains(t, errOut, "status 400: parameter team is wrong")
	server.Close()
	code, _, errOut = explain()
	assert.Equal(t, exitUnreachable, code)
	assert.Contains(t, errOut, "did not respond")
}
