package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// The platform writes each key of its file unless its pages say that the key may be absent. The field that decodes such
// a key has the tag presence:"optional". All other fields declare keys that a file must have.
const (
	presenceTag      = "presence"
	presenceOptional = "optional"
)

// maxNamedKeys limits the missing keys that one error names.
const maxNamedKeys = 12

// unused is the type of a field whose key must be present although the broker does not use its value. Any value is
// accepted.
type unused struct{}

// UnmarshalJSON implements json.Unmarshaler.
func (*unused) UnmarshalJSON([]byte) error { return nil }

// missingKeysError reports required keys that a file lacks.
type missingKeysError struct {
	paths []string // such as "settings.classes[0].aim"
}

func (e *missingKeysError) Error() string {
	if more := len(e.paths) - maxNamedKeys; more > 0 {
		return fmt.Sprintf("%s and %d more keys: missing", strings.Join(e.paths[:maxNamedKeys], ", "), more)
	}
	return strings.Join(e.paths, ", ") + ": missing"
}

// missingKey is a required key that a file lacks or whose value is null.
type missingKey struct {
	path string
	used bool // the broker uses the value of the key or, if the value is an object, of a key in it
}

// missingKeys returns the required keys that a JSON object lacks, in the order of the fields of the struct that decodes
// it. prefix is put before each path. A value of the wrong type is not missing: decoding reports it.
func missingKeys(prefix string, decoded reflect.Type, text json.RawMessage) []missingKey {
	values, isObject := objectValues(text)
	if !isObject {
		return nil
	}
	var missing []missingKey
	for _, field := range reflect.VisibleFields(decoded) {
		key := field.Tag.Get("json")
		value, present := values[strings.ToLower(key)]
		switch {
		case present:
			missing = append(missing, missingWithin(prefix+key, field.Type, value)...)
		case field.Tag.Get(presenceTag) != presenceOptional:
			missing = append(missing, missingKey{path: prefix + key, used: isUsed(field.Type)})
		}
	}
	return missing
}

// missingWithin returns the required keys that are missing in the value of a key.
func missingWithin(path string, decoded reflect.Type, text json.RawMessage) []missingKey {
	if decoded.Kind() == reflect.Struct {
		return missingKeys(path+".", decoded, text)
	}
	if !isList(decoded) {
		return nil
	}
	var elements []json.RawMessage
	if json.Unmarshal(text, &elements) != nil {
		return nil
	}
	var missing []missingKey
	for i, element := range elements {
		missing = append(missing, missingKeys(fmt.Sprintf("%s[%d].", path, i), decoded.Elem(), element)...)
	}
	return missing
}

// isList reports whether a type decodes a list of objects.
func isList(decoded reflect.Type) bool {
	return decoded.Kind() == reflect.Slice && decoded.Elem().Kind() == reflect.Struct
}

// isUsed reports whether the broker uses a value that is decoded into the type.
func isUsed(decoded reflect.Type) bool {
	if isList(decoded) {
		return isUsed(decoded.Elem())
	}
	if decoded.Kind() != reflect.Struct {
		return true
	}
	return slices.ContainsFunc(reflect.VisibleFields(decoded), func(f reflect.StructField) bool { return isUsed(f.Type) })
}

// objectValues returns the values of a JSON object by their keys in lower case, since encoding/json matches keys
// regardless of case. Values that are null are left out. An object that is null has no values.
func objectValues(text json.RawMessage) (values map[string]json.RawMessage, isObject bool) {
	var object map[string]json.RawMessage
	if json.Unmarshal(text, &object) != nil {
		return nil, false
	}
	values = map[string]json.RawMessage{}
	for _, key := range slices.Sorted(maps.Keys(object)) {
		if value := object[key]; !isMissing(value) {
			values[strings.ToLower(key)] = value
		}
	}
	return values, true
}
