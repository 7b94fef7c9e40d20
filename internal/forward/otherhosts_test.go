package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/directory"
	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

func newGatewayOfHost(id, region string) *Gateway {
	d := directory.New(directory.Options{Clock: func() time.Duration { return time.Hour }, Log: zerolog.Nop()})
	return New(Options{
		HostID: id, Region: region, Directory: d, Log: zerolog.Nop(), ForwardToHosts: true, Clock: func() time.Duration { return time.Hour },
		Dialect: Dialect{RequestID: "Id", ServerMark: "Mark"},
	})
}

// Guards against a request that is sent on although a server may have run it, that another host's response to something else
// answers, or that is given up for a reason that concerns one host alone.
func TestResponsesOfOtherHosts(t *testing.T) {
	r := &request{g: newGatewayOfHost("host-0", "west"), id: "1"}
	for name, c := range map[string]struct {
		status           int
		id, mark, reason string
		// forwarded is set if the caller gets the response; otherwise the verdict is that of the error.
		forwarded bool
		verdict   verdict.Verdict
	}{
		"answer of a server":                          {status: 200, id: "1", mark: "m", forwarded: true},
		"failure of a server":                         {status: 500, id: "1", mark: "m", forwarded: true},
		"answer to another request":                   {status: 200, id: "2", mark: "m"},
		"success of no server":                        {status: 200, id: "1"},
		"redirection of no server":                    {status: 302, id: "1"},
		"rejection of a server that names a reason":   {status: 503, id: "1", mark: "m", reason: codeNoPath},
		"failure of a server that names a reason":     {status: 500, id: "1", mark: "m", reason: codeNoPath, forwarded: true},
		"host without a path":                         {status: 503, id: "1", reason: codeNoPath, verdict: verdict.NotRun},
		"host that stops":                             {status: 503, id: "1", reason: codeHostStops, verdict: verdict.NotRun},
		"host that does not know the route":           {status: 404, id: "1", reason: "no_route", verdict: verdict.NotRun},
		"host that cannot connect":                    {status: 503, id: "1", reason: "connect_failed", verdict: verdict.NotRun},
		"host that cannot connect after another run":  {status: 502, id: "1", reason: "connect_failed", forwarded: true},
		"host without capacity":                       {status: 503, id: "1", reason: "no_backend_full", forwarded: true},
		"host without a response in time":             {status: 504, id: "1", reason: "timeout", forwarded: true},
		"host that rejects before it reads":           {status: 503, verdict: verdict.NotRun},
		"host that finds the request malformed":       {status: 400, forwarded: true},
		"host that gets the request late, unreadable": {status: 408, verdict: verdict.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			var h fasthttp.ResponseHeader
			h.SetStatusCode(c.status)
			for field, value := range map[string]string{"Id": c.id, "Mark": c.mark, errorHeader: c.reason} {
				if value != "" {
					h.Set(field, value)
				}
			}
			err := r.checkHostResponse(fleet.Host{ID: "host-1"}, &h)
			assert.Equal(t, c.forwarded, err == nil, "%v", err)
			if err != nil {
				assert.Equal(t, c.verdict, verdict.Of(err))
			}
			r.hostHeader(&h)(func(field, _ string) bool {
				assert.False(t, field == errorHeader && c.mark == "", "the reason is for hosts only")
				return true
			})
		})
	}
}

// Guards against a request that is sent to a host outside the regions of its route, to one that is not live or has just been unable
// to serve, or to one after the other of a domain that is cut off as a whole.
func TestChoiceOfAnotherHost(t *testing.T) {
	g := newGatewayOfHost("host-0", "west")
	hosts := map[string]fleet.Host{}
	for i, region := range []string{"west", "west", "west", "west", "west", "east", "east", "south"} {
		id := fmt.Sprint("host-", i)
		hosts[id] = fleet.Host{ID: id, Region: region}
	}
	choose := func(regions []string, asked ...string) string {
		r := &request{g: g, route: &route.Route{Regions: regions}, snapshot: &directory.Snapshot{Hosts: hosts}}
		h, ok := r.chooseHost(asked)
		assert.Equal(t, ok, h.ID != "")
		return h.Region
	}
	view := gossip.View{}
	g.view.Store(&view)
	assert.Equal(t, "west", choose(nil))
	assert.Equal(t, "west", choose(nil, "host-1"))
	assert.NotEqual(t, "west", choose(nil, "host-1", "host-2"))
	assert.Equal(t, "west", choose([]string{"west"}, "host-1", "host-2"))
	assert.Equal(t, "east", choose([]string{"east"}))
	assert.Empty(t, choose([]string{"north"}))
	for _, id := range []string{"host-1", "host-2", "host-3", "host-4"} {
		g.others.setUnusable(id, time.Now())
	}
	assert.NotEqual(t, "west", choose(nil))
	g.others.setUnusable("host-7", time.Now().Add(-unusableTime))
	assert.Equal(t, "south", choose([]string{"south"}), "it is asked again")
	g.view.Store(&gossip.View{InMesh: true, Peers: []gossip.Peer{{Host: "host-6"}}})
	assert.Equal(t, "east", choose(nil))
	assert.Empty(t, choose(nil, "host-6"))
}
