package request

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/core/verdict"
	"monsoonkeel.example/monsoonkeel/internal/connection"
	"monsoonkeel.example/monsoonkeel/internal/request/sse"
)

// recover continues after a broken stream.
func (gen *generation) recover(cause error, resumes int) error {
	gen.ex.Finish(false)
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
	if !gen.c.mayRetry(gen.runs) {
		return gen.lostError(cause)
	}
	return gen.startAnew()
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

// reattach asks the engine for the rest of the generation. It returns nil with
// gen.ex set, or an error when the engine does not have the generation, does not
// answer or the call ended.
func (gen *generation) reattach(resumes int) error {
	gen.ex = nil
	var err error
	for i := resumes; i < maxResumes; i++ {
		if i > 0 && !gen.pause(resumeBackoff<<i) {
			return gen.c.ctx.Err()
		}
		if err = gen.reattachOnce(); err == nil || errors.Is(err, errGenerationLost) {
			return err
		}
	}
	return errGenerationLost
}

func (gen *generation) reattachOnce() error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	gen.c.requestTo(req, gen.host.Address)
	req.SetRequestURI("/v1/generations/" + gen.id + "?offset=" + strconv.Itoa(gen.offset))
	ex, err := gen.c.g.Pool.Do(gen.c.ctx, gen.host.Address, req, connection.Options{NoReuse: true, ResponseHeaderTimeout: streamHeadTimeout})
	if err != nil {
		return err
	}
	if status := ex.Response.StatusCode(); status != 200 {
		ex.Finish(false)
		if status == 404 || status == 410 {
			return errGenerationLost
		}
		return fmt.Errorf("resume answered %d", status)
	}
	if err := gen.checkIdentity(ex); err != nil {
		ex.Finish(false)
		return err
	}
	gen.ex, gen.events = ex, sse.NewReader(ex.Body())
	return nil
}

func (gen *generation) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-gen.c.ctx.Done():
		return false
	}
}
