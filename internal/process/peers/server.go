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

// Serve answers other daemons on lis until ctx ends.
func (p *Peers) Serve(ctx context.Context, lis net.Listener) error {
	if p.cfg.TLS != nil {
		lis = tls.NewListener(lis, serverTLS(p.cfg.TLS))
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, handler{p}); err != nil {
		return Error.Wrap(err)
	}
	manager := managerOptions()
	manager.InactivityTimeout = 2 * connIdle
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: manager,
		Log:     func(err error) { p.cfg.Log.Debug().Err(err).Msg("peer connection ended") },
	})
	return Error.Wrap(server.Serve(ctx, lis))
}

// serverTLS requires client certificates, signed by ClientCAs or else RootCAs.
func serverTLS(conf *tls.Config) *tls.Config {
	conf = conf.Clone()
	conf.ClientAuth = tls.RequireAndVerifyClientCert
	if conf.ClientCAs == nil {
		conf.ClientCAs = conf.RootCAs
	}
	return conf
}

type handler struct{ p *Peers }

// Sync implements peerpb.DRPCPeerServer.
func (h handler) Sync(_ context.Context, req *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	p, beat := h.p, req.GetHeartbeat()
	if err := checkHeartbeat(beat); err != nil {
		return nil, withCode(verdict.Wrap(err, verdict.NotRun, http.StatusBadRequest, "bad_heartbeat", "heartbeat refused"))
	}
	isNew := p.cfg.Membership.RecordSyncRequest(beat.Host, beat.Draining)
	p.noteCold(beat, p.cfg.Now())
	// The heartbeat comes first: what is sent with it must be at least as new as
	// the revision and epoch it states.
	resp := &peerpb.SyncResponse{Heartbeat: p.heartbeat(isNew)}
	if v := p.cfg.Membership.View(); v.Epoch > beat.ViewEpoch {
		resp.Heartbeat.ViewEpoch = v.Epoch
		resp.View = v.Encode()
	}
	switch {
	case resp.Heartbeat.ConfigRevision > beat.ConfigRevision:
		resp.Changes, resp.Document = p.cfg.Source.ChangesSince(config.Revision(beat.ConfigRevision))
	case resp.Heartbeat.ConfigRevision < beat.ConfigRevision:
		p.requestPull(beat.Host, config.Revision(beat.ConfigRevision))
	}
	if size := proto.Size(resp); size > MaxMessageBytes-frameReserve {
		p.cfg.Log.Error().Int("bytes", size).Msg("configuration too large for a Sync answer, sent without it")
		resp.Changes, resp.Document = nil, nil
	}
	return resp, nil
}

// Claim implements peerpb.DRPCPeerServer.
func (h handler) Claim(ctx context.Context, req *peerpb.ClaimRequest) (*peerpb.ClaimResponse, error) {
	if err := h.admit(req.Protocol); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	resp, err := h.p.cfg.Claims.Claim(ctx, req)
	return resp, withCode(err)
}

// Answer implements peerpb.DRPCPeerServer.
func (h handler) Answer(ctx context.Context, req *peerpb.AnswerRequest) (*peerpb.AnswerResponse, error) {
	if err := h.admit(req.Protocol); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout(req))
	defer cancel()
	resp, err := h.p.cfg.Claims.Answer(ctx, req)
	return resp, withCode(err)
}

func (h handler) admit(protocol uint32) error {
	switch {
	case protocol != Protocol:
		return withCode(verdict.New(verdict.NotRun, http.StatusBadRequest, "bad_protocol", "protocol %d is not supported, want %d", protocol, Protocol))
	case h.p.cfg.Claims == nil:
		return withCode(verdict.New(verdict.NotRun, http.StatusNotImplemented, "no_claims", "this host serves no claims"))
	}
	return nil
}

// answerTimeout is the wait that the caller asked for, bounded, plus the time of a call.
func answerTimeout(req *peerpb.AnswerRequest) time.Duration {
	wait := time.Duration(max(req.WaitMs, 0)) * time.Millisecond
	return min(wait, maxAnswerWait) + claimTimeout
}
