package forward

import "sync/atomic"

// retrySeries is a series of requests to servers of which all but the first are charged to the retry budget. Each is
// charged right before its first byte is sent: until then its server may refuse requests, leave or end, and a charge
// for nothing would prevent a retry of another request.
type retrySeries struct {
	g       *Gateway
	service string
	// begun is set once a request of the series was sent.
	begun atomic.Bool
}

func (g *Gateway) newRetrySeries(service string) *retrySeries {
	return &retrySeries{g: g, service: service}
}

// available reports whether the retry budget allows the next request now, without charging it.
func (s *retrySeries) available() bool {
	return !s.begun.Load() || s.g.balancers.hasRetryBudget(s.service)
}

// charge returns the function that charges one request of the series. It is called right before the request is sent,
// and again if another connection has to be used; its error means that the request must not be sent.
func (s *retrySeries) charge() func() error {
	charged := false
	return func() error {
		switch {
		case charged:
			return nil
		case !s.begun.Load():
			s.begun.Store(true)
		case s.g.balancers.chargeRetry(s.service):
			s.g.Metrics.Retries.Add(1)
		default:
			return notRun(503, codeNoRetryBudget, "the retry budget was used up before the request was sent again")
		}
		charged = true
		return nil
	}
}
