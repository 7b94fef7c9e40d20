// Package view implements the view of a cell (its membership), the lease that
// lets members act under an epoch, the freshness rule for configuration and the
// computation of the next view.
//
// The package does no I/O and reads no clock; callers pass the time.
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
	// LeaseDuration is how long a confirmation lets a member act under an
	// epoch.
	LeaseDuration = 3 * time.Second
	// LeaseMargin covers requests that were sent just before a lease expired.
	LeaseMargin = 500 * time.Millisecond
	// FreshnessBound is the age below which a configuration confirmation is
	// fresh.
	FreshnessBound = 3 * time.Second
	// MemberTimeout is the time without contact after which a member may be
	// removed.
	MemberTimeout = 5 * time.Second
	// TakeoverTimeout is the time without a renewal after which another member
	// renews the view.
	TakeoverTimeout = 2 * time.Second
	// RenewInterval is the time between two renewals of the view.
	RenewInterval = time.Second

	maxMembers = 1024
)

// Error is the class of errors about malformed views.
var Error = errs.Class("view")

// View is the membership of a cell. Members are host ids in ascending order.
type View struct {
	Cell    string   `json:"cell"`
	Epoch   uint64   `json:"epoch"`
	Members []string `json:"members"`
	// RenewalCount increases by 1 with every renewal.
	RenewalCount uint64 `json:"beat"`
	// Renewer is the member that renews the view.
	Renewer string `json:"renewer"`
}

// Parse decodes and validates a view. Unknown fields, trailing data, an empty
// cell, an epoch of 0, too many members and members that are unsorted, repeated
// or empty are errors.
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

// Encode returns the JSON encoding that Parse decodes.
func (v View) Encode() []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // Cannot happen: strings and integers always marshal.
	}
	return data
}

// Has reports whether host is a member.
func (v View) Has(host string) bool {
	_, ok := slices.BinarySearch(v.Members, host)
	return ok
}

// Lease permits a member to act under an epoch for a limited time.
type Lease struct {
	Epoch uint64
	// ConfirmedAt is a time, on the holder's clock, at which no newer epoch
	// existed: the time at which the request was sent, less the age of the
	// confirmation in the response.
	ConfirmedAt time.Time
}

// Confirm returns the lease after a response for epoch to a request sent at
// sentAt, whose confirmation had the given age. An older confirmation or epoch
// does not change the lease.
func (l Lease) Confirm(epoch uint64, sentAt time.Time, age time.Duration) Lease {
	at := sentAt.Add(-max(age, 0))
	if epoch < l.Epoch || epoch == l.Epoch && !at.After(l.ConfirmedAt) {
		return l
	}
	return Lease{Epoch: epoch, ConfirmedAt: at}
}

// Until returns the time at which the lease expires. Clocks drift by up to 1%,
// so the holder uses 1% less than LeaseDuration.
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

// RightsBegin returns the time from which a host that received a new epoch at
// receivedAt may use the rights that the epoch grants. Every lease under an
// older epoch has expired by then, even on a clock that drifts by 1%.
func RightsBegin(receivedAt time.Time) time.Time {
	return receivedAt.Add((LeaseDuration + LeaseMargin) * 101 / 100)
}

// FreshnessState is the result of the freshness rule: whether a host may accept
// new requests.
type FreshnessState uint8

const (
	// Unknown means that the configuration may be outdated; new requests are
	// rejected.
	Unknown FreshnessState = iota
	// Fresh means that the configuration was confirmed recently; requests are
	// served.
	Fresh
	// FleetOutage means that the store is unavailable to all hosts, so that no
	// change can be accepted; requests are served with the newest configuration
	// received.
	FleetOutage
)

// String returns unknown, fresh or fleet_outage.
func (s FreshnessState) String() string {
	return [...]string{"unknown", "fresh", "fleet_outage"}[s]
}

// MayServe reports whether new requests may be accepted.
func (s FreshnessState) MayServe() bool { return s != Unknown }

// Age is the age of a confirmation; the zero value means that there is no
// confirmation.
type Age struct {
	Known bool
	Value time.Duration
}

// PeerState is the content of a peer's last response.
type PeerState struct {
	Host string
	// RequestSentAt is when the request was sent, so that a delayed response
	// never makes the peer's state appear more recent than it is.
	RequestSentAt time.Time
	// ConfigAge is the age of the peer's configuration confirmation in that
	// response.
	ConfigAge Age
}

// Freshness applies the freshness rule at now. ownAge is the age of the host's
// newest configuration confirmation, relayed ones included. A store outage is
// assumed only if more than half of the members have responded recently and
// none of them has a fresh confirmation.
func Freshness(now time.Time, self string, ownAge Age, peers []PeerState, v View) FreshnessState {
	if ownAge.Known && ownAge.Value < FreshnessBound {
		return Fresh
	}
	if !v.Has(self) {
		return Unknown
	}
	count := 1
	for _, h := range peers {
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
