package forward

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"monsoonkeel.example/monsoonkeel/core/route"
)

// Guards against a service that changes the requests of another one: that one of its servers states its speed makes
// only this service contended, and only engines read a priority.
func TestContentionByService(t *testing.T) {
	bs := newBalancers(Options{}, &Metrics{})
	for _, name := range []string{"model", "other"} {
		bs.service(name).config = &route.Service{Engine: &route.Engine{}}
	}
	bs.service("desk").config = &route.Service{}
	bs.setContended("model")
	bs.setContended("desk")
	assert.True(t, bs.contended("model"))
	assert.True(t, bs.isContendedEngine("model"))
	assert.False(t, bs.contended("other"))
	assert.False(t, bs.isContendedEngine("other"))
	assert.True(t, bs.contended("desk"))
	assert.False(t, bs.isContendedEngine("desk"))
}
