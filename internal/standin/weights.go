package standin

import (
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/time/rate"
)

// WeightFaults are the fault switches of the weight store.
type WeightFaults struct {
	Refuse bool `json:"refuse"`
}

// WeightStore is a stand-in for the weight store: any model and version exists,
// and each read of it returns the same bytes.
type WeightStore struct {
	faults faultSwitch[WeightFaults]
	limit  *rate.Limiter
	size   int
}

// NewWeightStore returns a weight store that allows perSecond reads per second
// (0 is unlimited) of size bytes each.
func NewWeightStore(perSecond, size int) *WeightStore {
	return &WeightStore{limit: newLimiter(perSecond), size: size}
}

// Handler serves /weights and /faults.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &s.faults)
	mux.HandleFunc("GET /weights/{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		if s.faults.get().Refuse {
			writeUnavailable(w)
			return
		}
		if !s.limit.Allow() {
			w.Header().Set("Retry-After", "1")
			writeError(w, http.StatusTooManyRequests, "rate of reads exceeded")
			return
		}
		block := fmt.Sprintf("%s/%s\n", r.PathValue("model"), r.PathValue("version"))
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write([]byte(strings.Repeat(block, s.size/len(block)+1)[:s.size])) // the client may have disconnected
	})
	return mux
}
