package request

import (
	"encoding/json"
	"strconv"

	"monsoonkeel.example/monsoonkeel/core/verdict"
)

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail,omitempty"`
	Verdict   verdict.Verdict `json:"verdict"`
	RequestID string          `json:"request_id"`
}

// problemContentType is registered by RFC 9457.
const problemContentType = "application/problem+json"

// newProblem describes err. A call that may have reached a backend server is
// never described as not run.
func (c *call) newProblem(err error) (Problem, *verdict.Error) {
	e := verdict.From(err)
	v := e.Verdict
	if c.attempted && v == verdict.NotRun {
		v = verdict.MayHaveRun
	}
	c.out.Code = e.Code
	c.out.Verdict = v.String()
	return Problem{
		Type:      "urn:monsoonkeel:problem:" + e.Code,
		Title:     e.Code,
		Status:    e.Status,
		Detail:    e.Detail,
		Verdict:   v,
		RequestID: c.out.RequestID,
	}, e
}

func (c *call) writeProblem(err error) {
	p, e := c.newProblem(err)
	c.g.Log.Debug().Err(err).Str("request_id", c.out.RequestID).Msg("request failed")
	body, _ := json.Marshal(p)
	r := &c.http.Response
	r.ResetBody()
	r.SetStatusCode(p.Status)
	r.Header.SetContentType(problemContentType)
	if e.RetryAfterSeconds > 0 {
		r.Header.Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds))
	}
	r.SetBody(body)
}

// problemEvent is the last event of a stream that failed.
func (c *call) problemEvent(err error) []byte {
	p, _ := c.newProblem(err)
	body, _ := json.Marshal(p)
	return []byte("event: error\ndata: " + string(body) + "\n\n")
}
