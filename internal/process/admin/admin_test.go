package admin

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/platform/platformtest"
	"monsoonkeel.example/monsoonkeel/internal/process/configlog"
)

type providers struct{}

func (providers) Status() any { return map[string]string{"host": "entry-1"} }
func (providers) Alarms() any { return []string{} }
func (providers) Dump() any   { return map[string]int{"queue": 0} }

func newHandler(store *platformtest.Store) *Handler {
	return New(Options{Log: configlog.New(configlog.Options{Store: store}), Status: providers{}, Alarms: providers{},
		Dump: providers{}, Token: "secret", Timeout: 300 * time.Millisecond})
}

func call(h *Handler, method, path, token, body string, into any) int {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI(path)
	ctx.Request.Header.Set("Authorization", "Bearer "+token)
	ctx.Request.SetBodyString(body)
	h.ServeHTTP(&ctx)
	if into != nil && json.Unmarshal(ctx.Response.Body(), into) != nil {
		return -ctx.Response.StatusCode()
	}
	return ctx.Response.StatusCode()
}

const change = `{"id":"a","ops":[{"kind":"class","name":"fast","action":"put","expected":0,"value":{"first_token_ms":100}}]}`

// Guards against accepting a call without the operator token, also if the daemon has none.
func TestToken(t *testing.T) {
	h := newHandler(platformtest.NewStore())
	for _, token := range []string{"", "secre", "secret2"} {
		require.Equal(t, 401, call(h, "POST", "/admin/v1/changes", token, change, nil))
	}
	withoutToken := New(Options{Log: h.options.Log})
	require.Equal(t, 401, call(withoutToken, "GET", "/admin/v1/config", "", "", nil))
	require.Zero(t, h.options.Log.Current().Revision)
}

// Guards against wrong statuses and verdicts of changes when the store is unavailable, the
// outcome of a write is unknown, or a change is accepted, in conflict or invalid.
func TestChanges(t *testing.T) {
	store := platformtest.NewStore()
	h := newHandler(store)
	var accepted AcceptedChange
	var problem Problem
	store.SetFaults(platformtest.Faults{Down: true})
	require.Equal(t, 503, call(h, "POST", "/admin/v1/changes", "secret", change, &problem))
	require.Equal(t, verdict.NotRun, problem.Verdict)
	store.SetFaults(platformtest.Faults{DropWrites: 1000})
	require.Equal(t, 504, call(h, "POST", "/admin/v1/changes", "secret", change, &problem))
	require.Equal(t, verdict.MayHaveRun, problem.Verdict)
	store.SetFaults(platformtest.Faults{})
	var state ChangeState
	require.Equal(t, 200, call(h, "GET", "/admin/v1/changes/a", "secret", "", &state))
	require.Equal(t, ChangeState{State: StateUnknown}, state)
	require.Equal(t, 200, call(h, "POST", "/admin/v1/changes", "secret", change, &accepted))
	require.EqualValues(t, 1, accepted.Revision)
	require.Equal(t, 200, call(h, "GET", "/admin/v1/changes/a", "secret", "", &state))
	require.Equal(t, ChangeState{State: StateAccepted, Revision: 1}, state)

	again := `{"id":"b","ops":[{"kind":"class","name":"fast","action":"put","expected":0,"value":{"first_token_ms":50}}]}`
	require.Equal(t, 409, call(h, "POST", "/admin/v1/changes", "secret", again, &problem))
	require.Len(t, problem.Conflicts, 1)
	require.NotEmpty(t, problem.Conflicts[0].Stored)
	require.Equal(t, verdict.NotRun, problem.Verdict)
	bad := `{"id":"c","ops":[{"kind":"class","name":"slow","action":"put","expected":0,"value":{"priority":11}}]}`
	require.Equal(t, 422, call(h, "POST", "/admin/v1/changes", "secret", bad, &problem))
	require.Len(t, problem.Errors, 2)
	require.Equal(t, 400, call(h, "POST", "/admin/v1/changes", "secret", `{"id":"d","nonsense":1}`, &problem))
	require.NotEmpty(t, problem.RequestID)
}

// Guards against resources that are not served, and against wrong statuses for other methods
// and paths.
func TestResources(t *testing.T) {
	h := newHandler(platformtest.NewStore())
	for _, path := range []string{"config", "history", "status", "alarms", "dump"} {
		var v any
		require.Equal(t, 200, call(h, "GET", "/admin/v1/"+path, "secret", "", &v), path)
		require.Equal(t, 405, call(h, "DELETE", "/admin/v1/"+path, "secret", "", &v), path)
	}
	require.Equal(t, 404, call(h, "GET", "/admin/v1/none", "secret", "", nil))
	require.Equal(t, 404, call(h, "GET", "/config", "secret", "", nil))
}
