package main

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"junctionwharf/internal/simwire"
)

// settings is the settings document of an instance. The format argument is the instance's ordinal.
const settings = `{"classes":[{"name":"read","aim":300000,"deadline":2000000,"effect":"safe","importance":1}],` +
	`"serviceLevels":[{"name":"low","nominal":5,"floorRate":5}],"nInstances":2,"ordinal":%d,` +
	`"bounds":{"peers":true},"specifics":{"usualUnits":2,"maxUnits":8}}`

// script returns the input of a short simulation with the named instances.
func script(instances ...string) string {
	var b strings.Builder
	b.WriteString("FRAME 1000 1\n")
	for i, instance := range instances {
		fmt.Fprintf(&b, "START %s 4 %s\n", instance, fmt.Sprintf(settings, i))
		b.WriteString("LIST 0 1\nM 10.0.0.1:80 a std 0 in_service 1 -\n")
		fmt.Fprintf(&b, "MEMBERSHIP %s cached 1 0\n", instance)
	}
	b.WriteString("EOF_BATCH\n")
	for step := range 40 {
		fmt.Fprintf(&b, "FRAME %d %d\n", 2000+step*50000, step+2)
		for _, instance := range instances {
			fmt.Fprintf(&b, "KNOCK %s %d read low - 2000000 v%d 2 0 2 0 0\n", instance, step+1, step%3)
			fmt.Fprintf(&b, "ALARM %s 1\n", instance)
		}
		b.WriteString("EOF_BATCH\n")
	}
	return b.String()
}

// replyOf returns the output of run for an input.
func replyOf(t *testing.T, input string) string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// actionsOf returns the lines of a reply that mention an instance, and the lines that end the batches.
func actionsOf(instance, reply string) string {
	var lines []string
	for line := range strings.Lines(reply) {
		if strings.Contains(line, instance) || strings.HasPrefix(line, "NEXT") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// Instances in one process share no state: an instance acts the same alone and together with another instance.
func TestInstancesDoNotAffectEachOther(t *testing.T) {
	together := actionsOf("gateway_0", replyOf(t, script("gateway_0", "gateway_1")))
	apart := actionsOf("gateway_0", replyOf(t, script("gateway_0")))
	if apart != together {
		t.Errorf("actions of gateway_0 together with gateway_1:\n%s\nalone:\n%s", together, apart)
	}
	if !strings.Contains(together, "SUBMIT_TO gateway_0 1 10.0.0.1:80") {
		t.Error("request 1 of gateway_0 was not forwarded")
	}
}

func TestRunRejectsInvalidInput(t *testing.T) {
	tests := []struct{ name, input, want string }{
		{"not running", "FRAME 1 1\nALARM gateway_9 1\nEOF_BATCH\n", "not running"},
		{"bad settings", "FRAME 1 1\nSTART gateway_0 1 {}\nEOF_BATCH\n", "line 2: start gateway_0: settings"},
		{"no batch", "rubbish\n", "line 1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := run(strings.NewReader(test.input), &bytes.Buffer{})
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("error is %v, want %q", err, test.want)
			}
			var lineError *simwire.LineError
			if !errors.As(err, &lineError) {
				t.Errorf("error is a %T, want a *LineError", err)
			}
		})
	}
}

// If an instance is killed after an event for it in the same batch, the event is dropped, because a killed process does
// not act.
func TestKilledInstanceDoesNotAct(t *testing.T) {
	input := script("gateway_0") + "FRAME 9000000 99\nALARM gateway_0 1\nHALT gateway_0\nEOF_BATCH\n"
	reply := replyOf(t, input)
	if !strings.HasSuffix(reply, "\nNEXT 99\n") || strings.Contains(reply, "FATAL") {
		t.Errorf("reply contains a failure or does not end with NEXT 99:\n%s", reply)
	}
	lines := strings.Split(strings.TrimSpace(reply), "\n")
	if last := lines[len(lines)-2]; !strings.HasPrefix(last, "NEXT") {
		t.Errorf("killed instance acted: %s", last)
	}
}

// A panic of a scheduler becomes an error with the panic's text, so that the other instances continue.
func TestReduceTurnsPanicIntoError(t *testing.T) {
	_, err := reduce(nil, 0, nil)
	var failure *panicError
	if !errors.As(err, &failure) || !strings.HasPrefix(err.Error(), "panic: ") {
		t.Errorf("error is %v, want a panicError", err)
	}
}
