package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// maxConfigFileBytes limits the size of a configuration file. With a larger value, a wrong path, such as that of a log
// file, could exhaust the memory of the process. With a smaller value, the cached endpoint list of a large deployment
// is rejected.
const maxConfigFileBytes = 16 << 20

// typeError reports a JSON value of the wrong type.
type typeError struct {
	key  string // path of the value within the decoded text, empty for the text as a whole
	got  string // JSON type
	want string // Go kind
}

func (e *typeError) Error() string {
	text := fmt.Sprintf("got %s, want %s", e.got, e.want)
	if e.key == "" {
		return text
	}
	return e.key + ": " + text
}

// decodeJSON decodes JSON text into target. For a value of the wrong type it returns a typeError.
func decodeJSON(text []byte, target any) error {
	err := json.Unmarshal(text, target)
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		return err
	}
	return &typeError{key: keyOfField(wrong.Field), got: wrong.Value, want: wrong.Type.Kind().String()}
}

// keyOfField returns the key for a field in an error of encoding/json, which reports a field of an embedded struct by
// its Go name. The field is empty if the text as a whole has the wrong type.
func keyOfField(field string) string {
	parts := strings.Split(field, ".")
	for i, part := range parts {
		if part != "" {
			parts[i] = strings.ToLower(part[:1]) + part[1:]
		}
	}
	return strings.Join(parts, ".")
}

// withinKey adds the key of a section to an error that begins with a key of the section, or that concerns the section
// as a whole.
func withinKey(section string, err error) error {
	var wrong *typeError
	if errors.As(err, &wrong) && wrong.key == "" {
		return fmt.Errorf("%s: %w", section, err)
	}
	return fmt.Errorf("%s.%w", section, err)
}

// readBounded reads a file of at most maxBytes bytes.
func readBounded(path string, maxBytes int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // nothing was written
	text, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err == nil && int64(len(text)) > maxBytes {
		err = fmt.Errorf("size is above the maximum of %d bytes", maxBytes)
	}
	return text, err
}
