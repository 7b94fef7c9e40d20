package config

import (
	"encoding/json"
	"regexp"
	"strconv"
)

// staysValid reports whether next, the result of applying change to a valid
// document, is certainly valid. It checks only what the change can invalidate,
// since Validate takes 5 us per team and every host applies every change. If it
// returns false, Validate decides.
func staysValid(next *Document, change Change) bool {
	v := &validator{doc: next}
	for _, op := range change.Ops {
		if op.Action == ActionDelete {
			if op.Kind == KindClass {
				return false // Any item may reference the class.
			}
			continue
		}
		switch op.Kind {
		case KindClass:
			validateOne(v, op, next.Classes, namePattern, v.class)
		case KindTeam:
			validateOne(v, op, next.Teams, namePattern, v.team)
		case KindService:
			validateOne(v, op, next.Services, namePattern, v.service)
		case KindDomain:
			validateOne(v, op, next.Domains, namePattern, v.domain)
		case KindDrain:
			validateOne(v, op, next.Drains, identifierPattern, v.drain)
		default:
			return false
		}
	}
	v.uniqueModels()
	return len(v.problems) == 0 && hashesStayUnique(next, change) && sizeBound(next) <= MaxDocumentBytes
}

func validateOne[T any](v *validator, op Op, items map[string]T, pattern *regexp.Regexp, check func(string, T, reportFunc)) {
	item, ok := items[op.Name]
	if !ok {
		v.problems = append(v.problems, "item is missing")
		return
	}
	validateEach(v, op.Kind, map[string]T{op.Name: item}, pattern, check)
}

// hashesStayUnique reports whether no key hash of a changed team occurs twice
// in the document.
func hashesStayUnique(next *Document, change Change) bool {
	owner := map[string]string{}
	for _, op := range change.Ops {
		if op.Kind != KindTeam || op.Action != ActionPut {
			continue
		}
		for _, hash := range next.Teams[op.Name].KeyHashes {
			if _, taken := owner[hash]; taken {
				return false
			}
			owner[hash] = op.Name
		}
	}
	if len(owner) == 0 {
		return true
	}
	for name, team := range next.Teams {
		for _, hash := range team.KeyHashes {
			if changed, ok := owner[hash]; ok && changed != name {
				return false
			}
		}
	}
	return true
}

// teamOverheadBytes is the encoded length of a team without its strings and
// revision: field names, punctuation and max_in_flight, which is at most
// MaxSlots.
const teamOverheadBytes = len(`"":{"name":"","key_hashes":null,"default_class":"","max_in_flight":1000000,"revision":},`)

// sizeBound returns an upper bound of the encoded length of a document whose
// items are valid. Valid names need no escaping.
func sizeBound(doc *Document) int {
	rest := *doc
	rest.Teams = nil
	raw, err := json.Marshal(&rest)
	if err != nil {
		return MaxDocumentBytes + 1
	}
	n := len(raw)
	revision := len(strconv.FormatUint(uint64(doc.Revision), 10)) // No item has a higher revision.
	for name, team := range doc.Teams {
		n += teamOverheadBytes + revision + 2*len(name) + len(team.DefaultClass)
		for _, hash := range team.KeyHashes {
			n += len(hash) + len(`"",`)
		}
	}
	return n
}
