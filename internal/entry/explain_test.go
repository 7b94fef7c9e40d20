package entry

import (
	"net/http/httptest"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/forward"
)

// Guards against bad parameters that are explained as another request, and against answers that lose the query.
func TestExplainHandler(t *testing.T) {
	var asked []forward.ExplainQuery
	handler := explainHandler(func(q forward.ExplainQuery) forward.ExplainResult {
		asked = append(asked, q)
		return forward.ExplainResult{Chosen: "e1"}
	}, zerolog.Nop())
	get := func(query string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		handler(w, httptest.NewRequest("GET", "/explain?"+query, nil))
		return w
	}
	for query, text := range map[string]string{
		"":                                        "host is missing",
		"host=a":                                  "path is missing",
		"host=a&path=b":                           "path is missing",
		"host=a&path=/&prompt_tokens=-1":          "prompt_tokens must be an integer",
		"host=a&path=/&output_tokens=many":        "output_tokens must be an integer",
		"host=a&path=/&kind=batch":                "kind must be generation or plain",
		"host=a&path=/&prompt=1":                  "unknown parameter",
		"host=a&path=/&host=b":                    "more than once",
		"host=a&path=/&team=%zz":                  "malformed",
		"host=a&path=/&prompt_tokens=99999999999": "prompt_tokens must be an integer",
	} {
		w := get(query)
		assert.Equal(t, 400, w.Code, query)
		assert.Contains(t, w.Body.String(), text)
	}
	require.Empty(t, asked)
	w := get("host=a.example&path=/x%3Fy&team=t&kind=plain&prompt_tokens=5&output_tokens=6")
	require.Equal(t, 200, w.Code)
	assert.Equal(t, []forward.ExplainQuery{{Host: "a.example", Path: "/x?y", Team: "t", Kind: "plain", PromptTokens: 5, OutputTokens: 6}}, asked)
	assert.Contains(t, w.Body.String(), `"chosen": "e1"`)
}
