package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// keySet is the keys of a JSON object, with those below each. A list of objects has the keys that all of them have.
type keySet map[string]keySet

// parseKeys reads the keys of a JSON object. One that holds null counts as missing.
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
			keys[strings.ToLower(key)] = keysOf(inner) // encoding/json matches keys whatever their case
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

// intersect is the keys that stand in k and in other.
func (k keySet) intersect(other keySet) keySet {
	common := keySet{}
	for key, inner := range k {
		if otherInner, held := other[key]; held {
			common[key] = inner.intersect(otherInner)
		}
	}
	return common
}

// firstMissing names the first of the keys that other does not have; empty for none.
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
