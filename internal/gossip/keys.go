package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"net"
	"strings"
)

const (
	// tagBytes is the size of the authentication tag at the end of a message.
	tagBytes = sha256.Size
	// minKeyBytes is the least size of a key, decoded.
	minKeyBytes = 32
	// maxKeys is the number of keys in use at once: the current one and, while it is replaced, another.
	maxKeys = 2
)

var errUnauthenticated = errors.New("message without a valid tag")

// Keys authenticate the messages between hosts, by a tag at the end of each (HMAC-SHA256 of the message and the ID of the
// receiver). The first key signs, and all are accepted. A nil Keys neither signs nor checks.
type Keys struct{ keys [][]byte }

// ParseKeys reads keys from a text with one key a line, in base64. Empty lines are skipped.
func ParseKeys(text []byte) (*Keys, error) {
	k := &Keys{}
	for n, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		switch {
		case err != nil:
			return nil, fmt.Errorf("line %d: not in base64", n+1) // the error would repeat a part of the key
		case len(key) < minKeyBytes:
			return nil, fmt.Errorf("line %d: a key of %d bytes, need %d", n+1, len(key), minKeyBytes)
		}
		k.keys = append(k.keys, key)
	}
	if len(k.keys) == 0 || len(k.keys) > maxKeys {
		return nil, fmt.Errorf("%d keys, need 1 to %d", len(k.keys), maxKeys)
	}
	return k, nil
}

// Equal reports whether both have the same keys in the same order.
func (k *Keys) Equal(o *Keys) bool {
	if k == nil || o == nil {
		return k == o
	}
	if len(k.keys) != len(o.keys) {
		return false
	}
	for i := range k.keys {
		if !hmac.Equal(k.keys[i], o.keys[i]) {
			return false
		}
	}
	return true
}

// signer signs messages that begin alike.
type signer struct {
	prefix []byte
	// state is the hash of the prefix; nil without keys.
	state hash.Hash
}

// signer returns one for messages that begin with prefix.
func (k *Keys) signer(prefix []byte) *signer {
	s := &signer{prefix: prefix}
	if k != nil {
		s.state = hmac.New(sha256.New, k.keys[0])
		s.state.Write(prefix)
	}
	return s
}

// sign returns the datagram for a receiver: the prefix, the suffix and the tag.
func (s *signer) sign(suffix []byte, receiver string) ([]byte, error) {
	datagram := make([]byte, 0, len(s.prefix)+len(suffix)+tagBytes)
	datagram = append(append(datagram, s.prefix...), suffix...)
	if s.state == nil {
		return datagram, nil
	}
	cloner, ok := s.state.(hash.Cloner)
	if !ok {
		return nil, errors.New("the hash function of the tag cannot be cloned")
	}
	state, err := cloner.Clone()
	if err != nil {
		return nil, err
	}
	state.Write(suffix)
	writeReceiver(state, receiver)
	return state.Sum(datagram), nil
}

// send sends the datagram for a receiver.
func (s *signer) send(conn *net.UDPConn, suffix []byte, to receiver) error {
	datagram, err := s.sign(suffix, to.host)
	if err == nil {
		_, err = conn.WriteToUDPAddrPort(datagram, to.address)
	}
	return err
}

// writeReceiver ends the text that a tag covers. The length keeps the receiver apart from the message.
func writeReceiver(state hash.Hash, receiver string) {
	state.Write(binary.BigEndian.AppendUint32([]byte(receiver), uint32(len(receiver))))
}

// open returns the message in a datagram for a receiver.
func (k *Keys) open(datagram []byte, receiver string) ([]byte, error) {
	if k == nil {
		return datagram, nil
	}
	if len(datagram) < tagBytes {
		return nil, errUnauthenticated
	}
	message, tag := datagram[:len(datagram)-tagBytes], datagram[len(datagram)-tagBytes:]
	for _, key := range k.keys {
		state := hmac.New(sha256.New, key)
		state.Write(message)
		writeReceiver(state, receiver)
		if hmac.Equal(state.Sum(nil), tag) {
			return message, nil
		}
	}
	return nil, errUnauthenticated
}
