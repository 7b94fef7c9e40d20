package directory

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// removalRetention is how long a removed object is remembered: longer than any answer or message is under way.
	removalRetention = 10 * time.Minute
	// maxRemovals limits the removed objects of a kind that are remembered.
	maxRemovals = 10000
)

// objectSet is what the store says of the objects of a kind, whatever this host makes of it. Each object, also a removed one,
// has the revision of the store as of which it is known, and only a newer one replaces it. So it does not matter in which
// order answers of the store and relayed updates arrive, and how often.
type objectSet struct {
	objects map[string]object
	// removals are the removed objects, in the order in which this host learned of them.
	removals []removal
	// digest is the sum of the digests of all objects.
	digest uint64
}

// object is what the store last said of one object.
type object struct {
	Change
	// readAt is when this host learned of it, on Options.Clock.
	readAt time.Duration
}

// removal is an object that was removed as of a revision.
type removal struct {
	name     string
	revision int64
	at       time.Duration
}

func newObjectSet() *objectSet { return &objectSet{objects: map[string]object{}} }

// merge takes over a change unless a change that is as new is known; of two with the same revision, a removal counts. Of an
// unknown object, it takes over only what is newer than absentAt, as of which the object is known to be removed or not created.
// It reports whether the change was taken over, and whether the object differs from what was known.
func (s *objectSet) merge(c Change, absentAt int64, now time.Duration) (taken, differs bool) {
	known, ok := s.objects[c.Name]
	switch {
	case !ok:
		if c.Revision <= absentAt {
			return false, false
		}
	case c.Revision < known.Revision, c.Revision == known.Revision && (known.Deleted || !c.Deleted):
		return false, false
	}
	former := uint64(0)
	if ok {
		former = known.digest()
	}
	s.objects[c.Name] = object{Change: c, readAt: now}
	if c.Deleted {
		s.removals = append(s.removals, removal{c.Name, c.Revision, now})
	}
	digest := c.digest()
	s.digest += digest - former
	return true, digest != former
}

// unlisted returns the removals of the objects that a list lacks although they were written before it was read.
func (s *objectSet) unlisted(kind Kind, list Batch) (removals []Change) {
	listed := make(map[string]bool, len(list.Changes))
	for _, c := range list.Changes {
		listed[c.Name] = true
	}
	for name, o := range s.objects {
		if o.Deleted || listed[name] || o.Revision > list.Revision {
			continue
		}
		c := Change{Name: name, Deleted: true, Revision: list.Revision}
		if kind == Hosts {
			// Its heartbeat is too old, which does not outweigh a later one.
			c.Revision = o.Revision
		}
		removals = append(removals, c)
	}
	return removals
}

// forget drops the removals that are too old, or too many, to be remembered.
func (s *objectSet) forget(now time.Duration) {
	for len(s.removals) > 0 && (now-s.removals[0].at > removalRetention || len(s.removals) > maxRemovals) {
		r := s.removals[0]
		s.removals = s.removals[1:]
		if o := s.objects[r.name]; o.Deleted && o.Revision == r.revision {
			delete(s.objects, r.name)
		}
	}
}

// digest identifies the content of an object, by which hosts compare what they know; it is 0 for a removed one. The time that is
// left of a cold start and the revision, which rise with each check-in of a cold server, are not part of it: such changes are not
// relayed. The revision of a roll-out is part of it, since only a host that knows it can write the status.
func (c Change) digest() uint64 {
	if c.Deleted {
		return 0
	}
	content := fmt.Appendf(nil, "%q", c.Name)
	if b := c.Backend; b != nil {
		content = fmt.Appendf(content, "%d %q %q %q %q %d %t", b.StartTime, b.Service, b.Address, b.Domain, b.Region, b.Slots, b.Leaving)
		if b.Version != "" { // hosts of earlier builds know no versions
			content = fmt.Appendf(content, " %q", b.Version)
		}
	}
	if h := c.Host; h != nil {
		content = fmt.Appendf(content, "%q %q %q %d %d", h.PeerAddress, h.Domain, h.Region, h.Capacity, h.Incarnation)
	}
	if r := c.Rollout; r != nil {
		content = fmt.Appendf(content, "%q %d %d %q %q %d", r.Target, r.Ramp, r.Created, r.State, r.StateTarget, r.Revision)
	}
	return xxhash.Sum64(content)
}
