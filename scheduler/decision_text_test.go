package scheduler_test

import (
	"fmt"
	"log/slog"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// actionText writes an action in words that do not depend on the names of Go types and fields, so that a
// renamed type is no other decision. Each kind has a fixed word, and each field a fixed key; times are whole
// nanoseconds, bytes hexadecimal.
func actionText(t testing.TB, action scheduler.Action) string {
	t.Helper()
	switch a := action.(type) {
	case scheduler.Forward:
		return fmt.Sprintf("send id=%d node=%q timeout=%d", a.ID, a.Node, int64(a.Timeout))
	case scheduler.Reject:
		return fmt.Sprintf("reject id=%d after=%d", a.ID, int64(a.After))
	case scheduler.Fail:
		return fmt.Sprintf("fail id=%d", a.ID)
	case scheduler.Cancel:
		return fmt.Sprintf("cancel id=%d attempt=%d", a.ID, a.Attempt)
	case scheduler.HealthCheck:
		return fmt.Sprintf("probe node=%q", a.Node)
	case scheduler.SendToPeer:
		return fmt.Sprintf("tell peer=%d data=%x", a.Peer, a.Data)
	case scheduler.SetTimer:
		return fmt.Sprintf("timer token=%d after=%d", a.Token, int64(a.After))
	case scheduler.WatchEndpoints:
		return fmt.Sprintf("watch on=%t", a.On)
	case scheduler.FetchEndpoints:
		return "fetch"
	case scheduler.CloseIdleConnections:
		return fmt.Sprintf("close-idle node=%q", a.Node)
	case scheduler.Log:
		return fmt.Sprintf("log text=%q", recordedLine(t, a))
	}
	t.Fatalf("an action without a text: %T", action)
	return ""
}

// recordedLog is how the recorded decisions, which are older than messages and attributes, write a log line.
type recordedLog struct {
	format string
	keys   []string // of the attributes, in order
}

var recordedLogs = map[string]recordedLog{
	"unknown class or plan":  {"unknown class or plan: %v, %v", []string{"class", "plan"}},
	"attempt lost":           {"attempt lost: %v after %v ms", []string{"node", "after_ms"}},
	"node unresponsive":      {"silent node: %v with %v out", []string{"node", "in_flight"}},
	"endpoint update failed": {"list failed: asking again", nil},
	"node leaves":            {"node leaves: %v", []string{"node"}},
	"node unresponsive while others of its shard answer": {
		"node found silent: %v of shard %v, others answer", []string{"node", "shard"},
	},
}

// recordedLine writes a log line as recorded. A message or attribute key that is not known fails the test.
func recordedLine(t testing.TB, line scheduler.Log) string {
	t.Helper()
	recorded, known := recordedLogs[line.Message]
	var keys []string
	var values []any
	for _, attribute := range line.Attributes {
		keys = append(keys, attribute.Key)
		values = append(values, attribute.Value.Any())
	}
	if !known || !slices.Equal(keys, recorded.keys) {
		t.Fatalf("not as recorded: the log line %q with attributes %v", line.Message, keys)
	}
	return fmt.Sprintf(recorded.format, values...)
}

// A field that the text leaves out could change without a red test. So each field of each kind of action has
// a key, and another value of it another text.
func TestDecisionsTextCoversFields(t *testing.T) {
	kinds := []scheduler.Action{
		scheduler.Forward{}, scheduler.Reject{}, scheduler.Fail{}, scheduler.Cancel{}, scheduler.HealthCheck{},
		scheduler.SendToPeer{}, scheduler.SetTimer{}, scheduler.WatchEndpoints{}, scheduler.FetchEndpoints{},
		scheduler.CloseIdleConnections{},
	}
	words := map[string]bool{"log": true}
	for _, kind := range kinds {
		zero := actionText(t, kind)
		word := strings.Fields(zero)[0]
		if words[word] {
			t.Errorf("two kinds of action have the word %q", word)
		}
		words[word] = true
		fields := reflect.TypeOf(kind).NumField()
		if keys := strings.Count(zero, "="); keys != fields {
			t.Errorf("%T: %d keys for %d fields: %s", kind, keys, fields, zero)
		}
		for i := range fields {
			changed := reflect.New(reflect.TypeOf(kind)).Elem()
			setOther(t, changed.Field(i))
			if text := actionText(t, changed.Interface().(scheduler.Action)); text == zero {
				t.Errorf("%T: field %d does not show in %s", kind, i, text)
			}
		}
	}
}

// The message and each attribute of a log line show in its text, as each field of the other actions does.
func TestDecisionsTextCoversLogs(t *testing.T) {
	if fields := reflect.TypeFor[scheduler.Log]().NumField(); fields != 2 {
		t.Fatalf("a log line has %d fields: the text covers its message and attributes", fields)
	}
	texts := map[string]string{}
	for message, recorded := range recordedLogs {
		line := scheduler.Log{Message: message}
		for _, key := range recorded.keys {
			line.Attributes = append(line.Attributes, slog.String(key, "a"))
		}
		zero := actionText(t, line)
		if other, taken := texts[zero]; taken {
			t.Errorf("%q and %q have the text %s", message, other, zero)
		}
		texts[zero] = message
		for i, key := range recorded.keys {
			changed := scheduler.Log{Message: message, Attributes: slices.Clone(line.Attributes)}
			changed.Attributes[i] = slog.String(key, "b")
			if text := actionText(t, changed); text == zero {
				t.Errorf("%q: attribute %s does not show in %s", message, key, text)
			}
		}
	}
}

// setOther gives a field a value that is not its zero value, the least by which it can differ.
func setOther(t *testing.T, field reflect.Value) {
	t.Helper()
	switch field.Interface().(type) {
	case uint64:
		field.SetUint(1)
	case int:
		field.SetInt(1)
	case time.Duration:
		field.SetInt(1) // a nanosecond
	case bool:
		field.SetBool(true)
	case string:
		field.SetString("x")
	case []byte:
		field.SetBytes([]byte{0})
	default:
		t.Fatalf("a field of a kind that the text has no rule for: %s", field.Type())
	}
}
