package entry

import (
	"encoding/base64"
	"errors"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/gossip"
)

// Guards against keys that are dropped because their file cannot be read for a moment, and against a host that begins to sign
// while the others do not.
func TestPeerKeysAreReloaded(t *testing.T) {
	parse := func(b string) *gossip.Keys {
		k, err := gossip.ParseKeys([]byte(base64.StdEncoding.EncodeToString([]byte(strings.Repeat(b, 32)))))
		require.NoError(t, err)
		return k
	}
	first, second := parse("a"), parse("b")
	for name, c := range map[string]struct {
		start, read *gossip.Keys
		err         error
		want        *gossip.Keys
	}{
		"replaced":          {first, second, nil, second},
		"the same":          {first, parse("a"), nil, first},
		"unreadable":        {first, nil, errors.New("no such file"), first},
		"none at the start": {nil, second, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Process{
				log: zerolog.Nop(), gossip: gossip.New(gossip.Options{}), peerKeys: c.start,
				adapter: Adapter{ReloadPeerKeys: func() (*gossip.Keys, error) { return c.read, c.err }},
			}
			p.reloadPeerKeys()
			assert.True(t, c.want.Equal(p.peerKeys))
		})
	}
}
