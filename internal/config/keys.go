package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// keySet contains the keys of a JSON object, each with the keys of its value. The keySet of a list contains the keys
// that all of its elements have.
type keySet map[string]keySet

// parseKeys returns the keys of a JSON object. A key whose value is null is treated as missing.
func parseKeys(text []byte) keySet {
	var value any
	if json.Unmarshal(text, &value) != nil {
		return nil
	}
	return keysOf(value)
}

func keysOf(value any) keySet {
	switch v := value.(type) {
	case map[string]any:
		return keysOfObject(v)
	case []any:
		return keysOfList(v)
	}
	return nil
}

func keysOfObject(object map[string]any) keySet {
	keys := keySet{}
	for key, inner := range object {
		if inner != nil {
			keys[strings.ToLower(key)] = keysOf(inner) // encoding/json matches keys regardless of case
		}
	}
	return keys
}

func keysOfList(list []any) keySet {
	var common keySet
	for i, element := range list {
		inner := keysOf(element)
		if i == 0 {
			common = inner
		}
		common = common.intersect(inner)
	}
	return common
}

// intersect returns the keys that are in both k and other.
func (k keySet) intersect(other keySet) keySet {
	common := keySet{}
	for key, inner := range k {
		if otherInner, held := other[key]; held {
			common[key] = inner.intersect(otherInner)
		}
	}
	return common
}

// firstMissing returns the path of the first key of k that is not in other. It returns "" if other has all keys of k.
func (k keySet) firstMissing(other keySet) string {
	for _, key := range slices.Sorted(maps.Keys(k)) {
		inner, held := other[key]
		if !held {
			return key
		}
		if missing := k[key].firstMissing(inner); missing != "" {
			return key + "." + missing
		}
	}
	return ""
}
