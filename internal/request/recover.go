package request

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
)

// recoverStream resumes a broken stream or, if nothing was delivered, starts a new
// attempt.
func (gen *generation) recoverStream(cause error, resumes int) error {
	gen.exchange.Finish(false)
	gen.recordBrokenAnswer(cause)
	if resumes < maxResumes && gen.reattach(resumes) == nil {
		return nil
	}
	if err := gen.c.ctx.Err(); err != nil {
		return err
	}
	if gen.delivered || gen.resumed {
		return gen.lostError(cause)
	}
	gen.abandon()
	if !gen.c.acquireRetry(gen.attempts) {
		return gen.lostError(cause)
	}
	return gen.startAttempts()
}

func (gen *generation) lostError(cause error) error {
	v := verdict.MayHaveRun
	if gen.offset > 0 {
		v = verdict.Ran
	}
	status := 502
	if gen.resumed && !gen.delivered {
		status = 410
	}
	return verdict.Wrap(cause, v, status, "generation_lost", "the engine lost the generation after %d tokens", gen.offset)
}

// reattach requests the rest of the generation from the engine and sets gen.exchange. It
// fails if the engine does not have the generation or does not respond, or if the call
// ended.
func (gen *generation) reattach(resumes int) error {
	gen.exchange = nil
	var err error
	for i := resumes; i < maxResumes; i++ {
		if i > 0 && !gen.sleep(resumeBackoff<<i) {
			return gen.c.ctx.Err()
		}
		if err = gen.reattachOnce(); err == nil || errors.Is(err, errGenerationLost) {
			return err
		}
	}
	return errGenerationLost
}

func (gen *generation) reattachOnce() error {
	ex, err := gen.requestRest(gen.c.ctx)
	if err == nil {
		gen.setExchange(ex)
	}
	return err
}

// requestRest requests the events of the generation after those accepted, on a new connection.
func (gen *generation) requestRest(ctx context.Context) (*connection.Exchange, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	gen.c.setRequestHeaders(req, gen.host.Address)
	req.SetRequestURI("/v1/generations/" + gen.id + "?offset=" + strconv.Itoa(gen.offset))
	req.Header.Set(headerGenerationID, gen.id)
	ex, err := gen.c.g.Pool.Do(ctx, gen.host.Address, req, connection.Options{
		NoReuse: true, IDHeader: headerGenerationID, ResponseHeaderTimeout: streamHeaderTimeout,
	})
	if err != nil {
		return nil, err
	}
	if err := gen.checkID(ex); err != nil {
		ex.Finish(false)
		return nil, err
	}
	if status := ex.Response.StatusCode(); status != 200 {
		ex.Finish(false)
		if status == 404 || status == 410 {
			return nil, errGenerationLost
		}
		return nil, fmt.Errorf("resume request failed with status %d", status)
	}
	if err := gen.checkIncarnation(ex); err != nil {
		ex.Finish(false)
		return nil, err
	}
	return ex, nil
}

func (gen *generation) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-gen.c.ctx.Done():
		return false
	}
}
