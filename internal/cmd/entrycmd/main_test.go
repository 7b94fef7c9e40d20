package entrycmd

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a host that starts without authentication because the file with its keys is missing or unusable.
func TestLoadPeerKeys(t *testing.T) {
	keys, err := loadPeerKeys("")
	require.NoError(t, err)
	assert.Nil(t, keys)
	path := filepath.Join(t.TempDir(), "keys")
	_, err = loadPeerKeys(path)
	assert.ErrorIs(t, err, os.ErrNotExist)
	for text, valid := range map[string]bool{strings.Repeat("YWFh", 11) + "\n": true, "YWFh\n": false, "": false} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		keys, err = loadPeerKeys(path)
		assert.Equal(t, valid, err == nil, "%q: %v", text, err)
		assert.Equal(t, valid, keys != nil)
	}
}
