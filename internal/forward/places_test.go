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

// Pattern: engines are reclaimed one after another. They hand their runs over, so
// the memory of the others is not taken by copies held ahead.
func TestNoStandbysWhileEnginesGiveNotice(t *testing.T) {
	p := newPlaces(Options{Domain: "west-a", Region: "west"})
	servers := map[string]*directory.Server{}
	for _, id := range []string{"a", "b", "c", "d"} {
		servers[id] = &directory.Server{Backend: fleet.Backend{ID: id, Address: id, Service: "model", Domain: "west-a", Region: "west"}}
	}
	p.changed(&directory.Snapshot{Servers: servers, Table: &route.Table{Services: map[string]*route.Service{
		"model": {Name: "model", Engine: &route.Engine{KVTokens: 10000, CanReplicate: true}},
	}}})
	job := balance.Request{Tokens: 1000, Source: &balance.Server{ID: "a", Domain: "west-a", Region: "west"}, Standby: true}
	held := p.standby("model", job)
	if assert.NotNil(t, held) {
		assert.Equal(t, 1000, p.ownLoad()[held.server.ID].Tokens)
		held.drop()
		assert.Empty(t, p.ownLoad())
	}
	p.noticed("model")
	assert.Nil(t, p.standby("model", job))
	p.services["model"].noticedAt = time.Now().Add(-noticeMemory)
	assert.NotNil(t, p.standby("model", job))
}
