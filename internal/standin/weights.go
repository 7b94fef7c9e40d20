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

// WeightStore is the weight store: any model and version exists and has the same
// deterministic bytes on each read.
type WeightStore struct {
	faults faultSwitch[WeightFaults]
	limit  *rate.Limiter
	size   int
}

// NewWeightStore returns a weight store that allows perSecond reads a second (0:
// unlimited) of size bytes each.
func NewWeightStore(perSecond, size int) *WeightStore {
	return &WeightStore{limit: limiter(perSecond), size: size}
}

// Handler serves /weights and /faults.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &s.faults)
	mux.HandleFunc("GET /weights/{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		if s.faults.get().Refuse {
			refuse(w)
			return
		}
		if !s.limit.Allow() {
			w.Header().Set("Retry-After", "1")
			writeError(w, http.StatusTooManyRequests, "rate of reads exceeded")
			return
		}
		block := fmt.Sprintf("%s/%s\n", r.PathValue("model"), r.PathValue("version"))
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write([]byte(strings.Repeat(block, s.size/len(block)+1)[:s.size])) // the reader may be gone
	})
	return mux
}
