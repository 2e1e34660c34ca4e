package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// keys is what a JSON object holds, below each key. A list of objects has the keys that all of them have.
type keys map[string]keys

// keysOf reads the keys of a JSON object. One that holds null counts as lacking.
func keysOf(text []byte) keys {
	var value any
	if json.Unmarshal(text, &value) != nil {
		return nil
	}
	return keysIn(value)
}

func keysIn(value any) keys {
	switch v := value.(type) {
	case map[string]any:
		all := keys{}
		for key, inner := range v {
			if inner != nil {
				all[strings.ToLower(key)] = keysIn(inner) // as encoding/json matches them
			}
		}
		return all
	case []any:
		var common keys
		for i, element := range v {
			inner := keysIn(element)
			if i == 0 {
				common = inner
			}
			common = common.both(inner)
		}
		return common
	}
	return nil
}

// both are the keys that stand in k and in other.
func (k keys) both(other keys) keys {
	common := keys{}
	for key, inner := range k {
		if o, held := other[key]; held {
			common[key] = inner.both(o)
		}
	}
	return common
}

// lacks names the first of the keys that other does not have; none is empty.
func (k keys) lacks(other keys) string {
	for _, key := range slices.Sorted(maps.Keys(k)) {
		inner, held := other[key]
		if !held {
			return key
		}
		if missing := k[key].lacks(inner); missing != "" {
			return key + "." + missing
		}
	}
	return ""
}

// CheckReloadKeys guards against a file that was cut or lost a key, which would otherwise pass for one that leaves the key to
// its default: a configuration that comes while the broker runs holds all that the one in force holds. The list of
// nodes last held counts at a start only.
func (c *Config) CheckReloadKeys(other *Config) error {
	wanted := maps.Clone(c.keys)
	delete(wanted, "known")
	if missing := wanted.lacks(other.keys); missing != "" {
		return fmt.Errorf("%s: missing", missing)
	}
	return nil
}
