package peers

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"monsoonkeel.example/monsoonkeel/core/config"
	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/peerpb"
)

// Serve serves the calls of other daemons on lis until ctx ends.
func (p *Peers) Serve(ctx context.Context, lis net.Listener) error {
	if p.cfg.TLS != nil {
		lis = tls.NewListener(lis, serverTLS(p.cfg.TLS))
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, handler{p}); err != nil {
		return Error.Wrap(err)
	}
	manager := managerOptions()
	manager.InactivityTimeout = 2 * connIdleTimeout
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: manager,
		Log:     func(err error) { p.cfg.Log.Debug().Err(err).Msg("peer connection closed") },
	})
	return Error.Wrap(server.Serve(ctx, lis))
}

// serverTLS returns conf with required client certificates, which must be signed by
// ClientCAs or, if nil, by RootCAs.
func serverTLS(conf *tls.Config) *tls.Config {
	conf = conf.Clone()
	conf.ClientAuth = tls.RequireAndVerifyClientCert
	if conf.ClientCAs == nil {
		conf.ClientCAs = conf.RootCAs
	}
	return conf
}

// handler serves the calls of other daemons.
type handler struct{ p *Peers }

// Sync implements peerpb.DRPCPeerServer.
func (h handler) Sync(_ context.Context, req *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	p, hb := h.p, req.GetHeartbeat()
	if err := checkHeartbeat(hb); err != nil {
		return nil, withVerdictCode(verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest, "bad_heartbeat", "heartbeat rejected"))
	}
	isNew := p.cfg.Membership.RecordSyncRequest(hb.Host, hb.Draining)
	p.recordCold(hb, p.cfg.Now())
	p.mergeEvidence(hb, time.Now())
	// The heartbeat is built first, since the changes and the view in the response must be
	// at least as new as its revision and epoch.
	resp := &peerpb.SyncResponse{Heartbeat: p.heartbeat(isNew)}
	if v := p.cfg.Membership.View(); v.Epoch > hb.ViewEpoch {
		resp.Heartbeat.ViewEpoch = v.Epoch
		resp.View = v.Encode()
	}
	switch {
	case resp.Heartbeat.ConfigRevision > hb.ConfigRevision:
		resp.Changes, resp.Document = p.cfg.Source.ChangesSince(config.Revision(hb.ConfigRevision))
	case resp.Heartbeat.ConfigRevision < hb.ConfigRevision:
		p.requestPull(hb.Host, config.Revision(hb.ConfigRevision))
	}
	if size := proto.Size(resp); size > MaxMessageBytes-maxFramingBytes {
		p.cfg.Log.Error().Int("bytes", size).Msg("configuration exceeds the message size limit, sending Sync response without it")
		resp.Changes, resp.Document = nil, nil
	}
	return resp, nil
}

// Claim implements peerpb.DRPCPeerServer.
func (h handler) Claim(ctx context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	if err := h.checkClaimCall(req.Protocol); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	resp, err := h.p.cfg.Claims.Claim(ctx, req)
	return resp, withVerdictCode(err)
}

// Answer implements peerpb.DRPCPeerServer.
func (h handler) Answer(ctx context.Context, req *peerpb.AnswerRequest) (*peerpb.AnswerResponse, error) {
	if err := h.checkClaimCall(req.Protocol); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, responseTimeout(req))
	defer cancel()
	resp, err := h.p.cfg.Claims.Answer(ctx, req)
	return resp, withVerdictCode(err)
}

// checkClaimCall returns an error if a claim call cannot be served.
func (h handler) checkClaimCall(protocol uint32) error {
	switch {
	case protocol != Protocol:
		return withVerdictCode(verdict.New(verdict.NotRun, http.StatusBadRequest, "bad_protocol", "protocol %d is not supported, want %d", protocol, Protocol))
	case h.p.cfg.Claims == nil:
		return withVerdictCode(verdict.New(verdict.NotRun, http.StatusNotImplemented, "no_claims", "this host does not serve claims"))
	}
	return nil
}

// responseTimeout returns the requested wait time, at most maxResponseWait, plus the timeout
// of a call.
func responseTimeout(req *peerpb.AnswerRequest) time.Duration {
	wait := time.Duration(max(req.WaitMs, 0)) * time.Millisecond
	return min(wait, maxResponseWait) + claimTimeout
}
