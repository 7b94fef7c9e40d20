// Package rawjson takes a JSON document apart without decoding the values in it. A value that cannot be decoded, such
// as one nested deeper than encoding/json allows or a number out of range, then fails alone and not with the whole
// document.
package rawjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrInvalid is returned for bytes in which no value or field can be found.
var ErrInvalid = errors.New("invalid JSON")

// Object returns the undecoded values of the fields of a JSON object, by name. It returns ErrInvalid if raw is no object. Of a name that occurs twice
// the last value counts, as in encoding/json.
func Object(raw []byte) (map[string]json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	err := split(raw, '{', '}', func(rest []byte) (int, error) {
		nameEnd, err := valueEnd(rest)
		if err != nil {
			return 0, err
		}
		var name string
		if err := json.Unmarshal(rest[:nameEnd], &name); err != nil {
			return 0, fmt.Errorf("name of a field: %w", err)
		}
		start := skipSpace(rest, nameEnd)
		if start == len(rest) || rest[start] != ':' {
			return 0, fmt.Errorf("%w: field %.40q has no value", ErrInvalid, name)
		}
		start = skipSpace(rest, start+1)
		end, err := valueEnd(rest[start:])
		fields[name] = json.RawMessage(rest[start : start+end])
		return start + end, err
	})
	return fields, err
}

// Array returns the undecoded elements of a JSON array. It returns ErrInvalid if raw is none.
func Array(raw []byte) ([]json.RawMessage, error) {
	elements := []json.RawMessage{}
	err := split(raw, '[', ']', func(rest []byte) (int, error) {
		end, err := valueEnd(rest)
		elements = append(elements, json.RawMessage(rest[:end]))
		return end, err
	})
	return elements, err
}

// split calls next at each element between open and closing; next returns the length of the element.
func split(raw []byte, open, closing byte, next func(rest []byte) (int, error)) error {
	i := skipSpace(raw, 0)
	if i == len(raw) || raw[i] != open {
		return fmt.Errorf("%w: no %q", ErrInvalid, open)
	}
	i = skipSpace(raw, i+1)
	for first := true; i < len(raw) && raw[i] != closing; first = false {
		if !first {
			if raw[i] != ',' {
				return fmt.Errorf("%w: no comma between two elements", ErrInvalid)
			}
			i = skipSpace(raw, i+1)
		}
		n, err := next(raw[i:])
		if err != nil {
			return err
		}
		i = skipSpace(raw, i+n)
	}
	if i >= len(raw) {
		return fmt.Errorf("%w: no %q", ErrInvalid, closing)
	}
	return nil
}

// valueEnd returns the length of the value at the start of raw. It only matches quotes and brackets, of whichever
// kind, so that the value need not be valid and may be nested to any depth.
func valueEnd(raw []byte) (int, error) {
	depth := 0
	for i := 0; i < len(raw); {
		switch raw[i] {
		case '"':
			n := stringEnd(raw[i:])
			if n < 0 {
				return 0, fmt.Errorf("%w: text without an end", ErrInvalid)
			}
			if i += n; depth == 0 {
				return i, nil
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return nonEmpty(i)
			}
			if depth--; depth == 0 {
				return i + 1, nil
			}
		case ',', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return nonEmpty(i)
			}
		}
		i++
	}
	if depth > 0 {
		return 0, fmt.Errorf("%w: value without an end", ErrInvalid)
	}
	return nonEmpty(len(raw))
}

func nonEmpty(length int) (int, error) {
	if length == 0 {
		return 0, fmt.Errorf("%w: no value", ErrInvalid)
	}
	return length, nil
}

// stringEnd returns the length of the text that begins at the quote raw[0], with both quotes, or -1.
func stringEnd(raw []byte) int {
	for i := 1; i < len(raw); i++ {
		n := bytes.IndexAny(raw[i:], `"\`)
		if n < 0 {
			return -1
		}
		if i += n; raw[i] == '"' {
			return i + 1
		}
		i++ // the escaped character
	}
	return -1
}

func skipSpace(raw []byte, i int) int {
	for i < len(raw) && (raw[i] == ' ' || raw[i] == '\t' || raw[i] == '\r' || raw[i] == '\n') {
		i++
	}
	return i
}
