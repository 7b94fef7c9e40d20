package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"monsoonkeel.example/monsoonkeel/core/balance"
	"monsoonkeel.example/monsoonkeel/core/fleet"
	"monsoonkeel.example/monsoonkeel/core/route"
	"monsoonkeel.example/monsoonkeel/internal/directory"
)

// Guards against standby replicas that take the KV cache and links needed for migrations
// while engines are reclaimed one after another with notice.
func TestNoStandbysDuringNoticeWindow(t *testing.T) {
	bs := newBalancers(Options{Domain: "west-a", Region: "west"}, &Metrics{})
	servers := map[string]*directory.Server{}
	for _, id := range []string{"a", "b", "c", "d"} {
		servers[id] = &directory.Server{Backend: fleet.Backend{ID: id, Address: id, Service: "model", Domain: "west-a", Region: "west"}}
	}
	bs.applySnapshot(&directory.Snapshot{Servers: servers, Table: &route.Table{Services: map[string]*route.Service{
		"model": {Name: "model", Engine: &route.Engine{KVTokens: 10000, CanReplicate: true}},
	}}})
	req := balance.Request{Tokens: 1000, Source: &balance.Server{ID: "a", Domain: "west-a", Region: "west"}, Standby: true}
	standby := bs.acquireStandby("model", req)
	if assert.NotNil(t, standby) {
		assert.Equal(t, 1000, bs.ownLoad()[standby.server.ID].Tokens)
		standby.releaseIfHeld()
		assert.Empty(t, bs.ownLoad())
	}
	bs.recordNotice("model")
	assert.Nil(t, bs.acquireStandby("model", req))
	bs.services["model"].lastNotice = time.Now().Add(-noticeWindow)
	assert.NotNil(t, bs.acquireStandby("model", req))
}
