// Package view holds the view of a cell, the rules of its lease, the freshness
// rule and the computation of the next view.
//
// The package is pure: it reads no clock and does no I/O.
package view

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

const (
	// LeaseDuration is how long a confirmation lets a member act under an epoch.
	LeaseDuration = 3 * time.Second
	// LeaseMargin covers requests that were sent just before a lease expired.
	LeaseMargin = 500 * time.Millisecond
	// FreshnessBound is how long a configuration confirmation stays fresh.
	FreshnessBound = 3 * time.Second
	// MemberTimeout is how long a member may be silent before it is removed.
	MemberTimeout = 5 * time.Second
	// TakeoverTimeout is how long the beat may stand still before another member renews.
	TakeoverTimeout = 2 * time.Second
	// RenewInterval is the interval between two beats.
	RenewInterval = time.Second

	maxMembers = 1024
)

// Error is the class of this package's errors.
var Error = errs.Class("view")

// View is the membership of a cell. Members are sorted by host id.
type View struct {
	Cell    string   `json:"cell"`
	Epoch   uint64   `json:"epoch"`
	Members []string `json:"members"`
	// RenewalCount grows with every renewal.
	RenewalCount uint64 `json:"beat"`
	// Renewer is the member that renews the view.
	Renewer string `json:"renewer"`
}

// Parse decodes a view strictly: unknown fields, trailing data, an epoch of 0
// and members that are unsorted, repeated or empty are errors.
func Parse(data []byte) (View, error) {
	var v View
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return View{}, Error.Wrap(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return View{}, Error.New("data after the view")
	}
	return v, v.validate()
}

func (v View) validate() error {
	switch {
	case v.Cell == "":
		return Error.New("cell is empty")
	case v.Epoch == 0:
		return Error.New("epoch is 0")
	case len(v.Members) > maxMembers:
		return Error.New("%d members, at most %d are allowed", len(v.Members), maxMembers)
	}
	for i, m := range v.Members {
		if m == "" || i > 0 && v.Members[i-1] >= m {
			return Error.New("members are not sorted, unique and non-empty at index %d", i)
		}
	}
	return nil
}

// Encode returns the JSON form that Parse reads.
func (v View) Encode() []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // Strings and integers always marshal.
	}
	return data
}

// Has reports whether host is a member.
func (v View) Has(host string) bool {
	_, ok := slices.BinarySearch(v.Members, host)
	return ok
}

// Lease is the right to act under an epoch.
type Lease struct {
	Epoch uint64
	// ConfirmedAt is a time, on the holder's clock, at which the epoch was
	// certainly still current or older: the time the request was sent, less the
	// age the answer relayed.
	ConfirmedAt time.Time
}

// Confirm returns the lease after an answer for epoch to a request sent at
// sentAt whose confirmation had the given age. An older confirmation or epoch
// does not shorten the lease.
func (l Lease) Confirm(epoch uint64, sentAt time.Time, age time.Duration) Lease {
	at := sentAt.Add(-max(age, 0))
	if epoch < l.Epoch || epoch == l.Epoch && !at.After(l.ConfirmedAt) {
		return l
	}
	return Lease{Epoch: epoch, ConfirmedAt: at}
}

// Until returns the first time at which the lease is no longer valid. Clocks
// drift by up to 1%, so the holder counts 1% less than LeaseDuration.
func (l Lease) Until() time.Time {
	if l.Epoch == 0 {
		return time.Time{}
	}
	return l.ConfirmedAt.Add(LeaseDuration * 99 / 100)
}

// Valid reports whether the holder may act under epoch at now.
func (l Lease) Valid(epoch uint64, now time.Time) bool {
	return epoch != 0 && l.Epoch == epoch && now.Before(l.Until())
}

// RightsBegin returns when the rights that a new epoch grants begin, if the
// host received the epoch at receivedAt. Every lease under an older epoch has
// expired by then, also on a clock that drifts by 1%.
func RightsBegin(receivedAt time.Time) time.Time {
	return receivedAt.Add((LeaseDuration + LeaseMargin) * 101 / 100)
}

// FreshnessState says whether a host may take new work.
type FreshnessState uint8

const (
	// Unknown means that the configuration may be outdated: refuse new work.
	Unknown FreshnessState = iota
	// Fresh means that the configuration was confirmed recently: serve.
	Fresh
	// FleetOutage means that no host can reach the object API, so that no
	// change can be accepted: serve on the newest configuration known.
	FleetOutage
)

// String returns unknown, fresh or fleet_outage.
func (s FreshnessState) String() string {
	return [...]string{"unknown", "fresh", "fleet_outage"}[s]
}

// MayServe reports whether new work may be taken.
func (s FreshnessState) MayServe() bool { return s != Unknown }

// Age is the age of a confirmation; the zero value means there is none.
type Age struct {
	Known bool
	Value time.Duration
}

// PeerState is what a peer's last answer said.
type PeerState struct {
	Host string
	// RequestSentAt is when the answered request was sent, so a delayed answer never makes
	// the peer look more recent than it is.
	RequestSentAt time.Time
	// ConfigAge is the age of the peer's configuration confirmation in that answer.
	ConfigAge Age
}

// Freshness applies the freshness rule at now. ownAge is the age of the host's
// own newest configuration confirmation, relayed ones included.
func Freshness(now time.Time, self string, ownAge Age, heard []PeerState, v View) FreshnessState {
	if ownAge.Known && ownAge.Value < FreshnessBound {
		return Fresh
	}
	if !v.Has(self) {
		return Unknown
	}
	count := 1
	for _, h := range heard {
		since := now.Sub(h.RequestSentAt)
		if h.Host == self || !v.Has(h.Host) || since >= FreshnessBound {
			continue
		}
		if h.ConfigAge.Known && h.ConfigAge.Value+since < FreshnessBound {
			return Unknown
		}
		count++
	}
	if 2*count > len(v.Members) {
		return FleetOutage
	}
	return Unknown
}
