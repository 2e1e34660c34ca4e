package scheduler_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// actionText writes an action in words that do not depend on the names of Go types and fields, so that a
// renamed type is no other decision. Each kind has a fixed word, and each field a fixed key; times are whole
// nanoseconds, bytes are hexadecimal.
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
		return fmt.Sprintf("log text=%q", a.Text)
	}
	t.Fatalf("an action without a text: %T", action)
	return ""
}

// A field that the text leaves out could change without a red test. So each field of each kind of action has
// a key, and another value of it another text.
func TestDecisionsTextCoversFields(t *testing.T) {
	kinds := []scheduler.Action{scheduler.Forward{}, scheduler.Reject{}, scheduler.Fail{}, scheduler.Cancel{}, scheduler.HealthCheck{}, scheduler.SendToPeer{}, scheduler.SetTimer{},
		scheduler.WatchEndpoints{}, scheduler.FetchEndpoints{}, scheduler.CloseIdleConnections{}, scheduler.Log{}}
	words := map[string]bool{}
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
