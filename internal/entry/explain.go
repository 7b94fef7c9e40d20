package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"monsoonkeel.example/monsoonkeel/internal/forward"
)

// maxExplainTokens limits the token counts in a query; no engine holds as many.
const maxExplainTokens = 1 << 30

// explainHandler answers where this host would send the request that the query parameters describe.
func explainHandler(explain func(forward.ExplainQuery) forward.ExplainResult, log zerolog.Logger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		query, err := parseExplainQuery(r.URL.RawQuery)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(explain(query)); err != nil {
			log.Debug().Err(err).Msg("writing an explanation failed")
		}
	}
}

func parseExplainQuery(raw string) (q forward.ExplainQuery, err error) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return q, fmt.Errorf("the query is malformed: %w", err)
	}
	for name, list := range values {
		if len(list) > 1 {
			return q, fmt.Errorf("parameter %s is given more than once", name)
		}
		value := list[0]
		switch name {
		case "host":
			q.Host = value
		case "path":
			q.Path = value
		case "team":
			q.Team = value
		case "kind":
			q.Kind = value
		case "prompt_tokens":
			q.PromptTokens, err = parseTokens(name, value)
		case "output_tokens":
			q.OutputTokens, err = parseTokens(name, value)
		default:
			err = fmt.Errorf("unknown parameter %q; known are host, path, team, kind, prompt_tokens and output_tokens", name)
		}
		if err != nil {
			return q, err
		}
	}
	switch {
	case q.Host == "":
		return q, errors.New("parameter host is missing: the host name that callers use")
	case !strings.HasPrefix(q.Path, "/"):
		return q, errors.New("parameter path is missing or does not begin with a slash")
	case q.Kind != "" && q.Kind != forward.KindGeneration && q.Kind != forward.KindPlain:
		return q, fmt.Errorf("parameter kind must be %s or %s, not %q", forward.KindGeneration, forward.KindPlain, q.Kind)
	}
	return q, nil
}

func parseTokens(name, value string) (int, error) {
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 || n > maxExplainTokens {
		return 0, fmt.Errorf("parameter %s must be an integer from 0 to %d, not %q", name, maxExplainTokens, value)
	}
	return n, nil
}
