package rawjson

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against values that are cut at a bracket, comma or quote inside a text, or at an escaped quote.
func TestValuesAreFound(t *testing.T) {
	fields, err := Object([]byte(` {"a" : "x\"}],{[" , "b":[1,{"c":"]"}],"d":-1e400 ,"e":null,"a":true} `))
	require.NoError(t, err)
	assert.Equal(t, map[string]json.RawMessage{
		"a": json.RawMessage("true"), "b": json.RawMessage(`[1,{"c":"]"}]`), "d": json.RawMessage("-1e400"), "e": json.RawMessage("null"),
	}, fields)
	elements, err := Array([]byte(`["\\",[],{},{"a":[[1]]}, NaN ,"\\\""]`))
	require.NoError(t, err)
	var texts []string
	for _, e := range elements {
		texts = append(texts, string(e))
	}
	assert.Equal(t, []string{`"\\"`, `[]`, `{}`, `{"a":[[1]]}`, `NaN`, `"\\\""`}, texts)
}

// Guards against a stack that overflows at a deeply nested value.
func TestDepthIsNotLimited(t *testing.T) {
	const levels = 1 << 20
	deep := strings.Repeat("[", levels) + strings.Repeat("]", levels)
	elements, err := Array([]byte("[1," + deep + ",2]"))
	require.NoError(t, err)
	require.Len(t, elements, 3)
	assert.Len(t, elements[1], 2*levels)
}

// Guards against a document that is cut short and accepted.
func TestIncompleteDocumentsAreRejected(t *testing.T) {
	const document = `{"a":[1,"x",{"b":2}],"c":"d"}`
	for n := range len(document) {
		_, err := Object([]byte(document[:n]))
		assert.ErrorIs(t, err, ErrInvalid, document[:n])
	}
	for _, document := range []string{`[]`, `1`, `{"a"}`, `{"a" 1}`, `{"a":1 "b":2}`, `{,}`, `{"a":,"b":1}`, `{"a":1,}`} {
		_, err := Object([]byte(document))
		assert.Error(t, err, document)
	}
}

// Guards against values that are lost or changed: for every JSON document they are those that encoding/json finds.
func FuzzSplit(f *testing.F) {
	f.Add(`{"a":[1,"x\"",{"b":2}],"c":"d"}`)
	f.Add(`[1, {"a":"]"} ,"\\"]`)
	f.Fuzz(func(t *testing.T, document string) {
		fields, fieldsErr := Object([]byte(document))
		elements, elementsErr := Array([]byte(document))
		var wantFields map[string]json.RawMessage
		if json.Unmarshal([]byte(document), &wantFields) == nil && wantFields != nil {
			require.NoError(t, fieldsErr)
			assert.Equal(t, wantFields, fields)
		}
		var wantElements []json.RawMessage
		if json.Unmarshal([]byte(document), &wantElements) == nil && wantElements != nil {
			require.NoError(t, elementsErr)
			assert.Equal(t, wantElements, elements)
		}
	})
}
