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

// actionText returns a text for an action that does not depend on the names of Go types and fields, so that
// renaming a type does not change the recorded decisions. Each kind of action has a fixed word and each field a
// fixed key. Times are in whole nanoseconds and bytes in hexadecimal.
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
	t.Fatalf("no text is defined for action type %T", action)
	return ""
}

// recordedLog is the form of a log line in the recorded decisions. The recordings are older than log lines with a fixed
// message and attributes.
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

// recordedLine returns a log line as recorded. It fails the test for an unknown message or attribute key.
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
		t.Fatalf("no recorded form is defined for the log line %q with attributes %v", line.Message, keys)
	}
	return fmt.Sprintf(recorded.format, values...)
}

// If the text omitted a field, the field could change without a test failure. Each field of each kind of action
// must therefore have a key, and a different value of the field must change the text.
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
			t.Errorf("several kinds of action have the word %q", word)
		}
		words[word] = true
		fields := reflect.TypeOf(kind).NumField()
		if keys := strings.Count(zero, "="); keys != fields {
			t.Errorf("%T: text has %d keys, want one for each of %d fields: %s", kind, keys, fields, zero)
		}
		for i := range fields {
			changed := reflect.New(reflect.TypeOf(kind)).Elem()
			setOther(t, changed.Field(i))
			if text := actionText(t, changed.Interface().(scheduler.Action)); text == zero {
				t.Errorf("%T: a change of field %d does not change the text %s", kind, i, text)
			}
		}
	}
}

// The text of a log line must depend on its message and on each attribute.
func TestDecisionsTextCoversLogs(t *testing.T) {
	if fields := reflect.TypeFor[scheduler.Log]().NumField(); fields != 2 {
		t.Fatalf("Log has %d fields, want the 2 that the text covers: message and attributes", fields)
	}
	texts := map[string]string{}
	for message, recorded := range recordedLogs {
		line := scheduler.Log{Message: message}
		for _, key := range recorded.keys {
			line.Attributes = append(line.Attributes, slog.String(key, "a"))
		}
		zero := actionText(t, line)
		if other, taken := texts[zero]; taken {
			t.Errorf("messages %q and %q have the same text %s", message, other, zero)
		}
		texts[zero] = message
		for i, key := range recorded.keys {
			changed := scheduler.Log{Message: message, Attributes: slices.Clone(line.Attributes)}
			changed.Attributes[i] = slog.String(key, "b")
			if text := actionText(t, changed); text == zero {
				t.Errorf("%q: a change of attribute %s does not change the text %s", message, key, text)
			}
		}
	}
}

// setOther sets a field to the smallest value that differs from its zero value.
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
		t.Fatalf("the text does not support fields of type %s", field.Type())
	}
}
