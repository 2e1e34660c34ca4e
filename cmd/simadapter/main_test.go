package main

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"junctionwharf/internal/simwire"
)

// settings is the document of an instance with the given ordinal.
const settings = `{"classes":[{"name":"read","aim":300000,"deadline":2000000,"effect":"safe","importance":1}],` +
	`"serviceLevels":[{"name":"low","nominal":5,"floorRate":5}],"nInstances":2,"ordinal":%d,` +
	`"bounds":{"peers":true},"specifics":{"usualUnits":2,"maxUnits":8}}`

// script is the input of a short simulated day of the named instances.
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

// replyOf plays an input and returns the whole reply.
func replyOf(t *testing.T, input string) string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// actionsOf returns the lines of a reply that belong to an instance, and the ends of the batches.
func actionsOf(instance, reply string) string {
	var lines []string
	for line := range strings.Lines(reply) {
		if strings.Contains(line, instance) || strings.HasPrefix(line, "NEXT") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// Two instances in one process share no state: each acts as it does when it has the process to itself.
func TestInstancesDoNotAffectEachOther(t *testing.T) {
	together := actionsOf("gateway_0", replyOf(t, script("gateway_0", "gateway_1")))
	apart := actionsOf("gateway_0", replyOf(t, script("gateway_0")))
	if apart != together {
		t.Errorf("together:\n%s\napart:\n%s", together, apart)
	}
	if !strings.Contains(together, "SUBMIT_TO gateway_0 1 10.0.0.1:80") {
		t.Error("nothing was forwarded")
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
				t.Errorf("error %v, want %q", err, test.want)
			}
			var lineError *simwire.LineError
			if !errors.As(err, &lineError) {
				t.Errorf("error is a %T, want a *LineError", err)
			}
		})
	}
}

// An instance is killed right after an event of its own, in one batch. The event is dropped: a killed process does not
// act.
func TestKilledInstanceDoesNotAct(t *testing.T) {
	input := script("gateway_0") + "FRAME 9000000 99\nALARM gateway_0 1\nHALT gateway_0\nEOF_BATCH\n"
	reply := replyOf(t, input)
	if !strings.HasSuffix(reply, "\nNEXT 99\n") || strings.Contains(reply, "FATAL") {
		t.Error("no plain reply to the last batch")
	}
	lines := strings.Split(strings.TrimSpace(reply), "\n")
	if last := lines[len(lines)-2]; !strings.HasPrefix(last, "NEXT") {
		t.Errorf("a killed instance acts: %s", last)
	}
}

// A scheduler that panics ends only its own instance's turn: the panic becomes an error with its text.
func TestReduceTurnsPanicIntoError(t *testing.T) {
	_, err := reduce(nil, 0, nil)
	var failure *panicError
	if !errors.As(err, &failure) || !strings.HasPrefix(err.Error(), "panic: ") {
		t.Errorf("error is %v, want a panicError", err)
	}
}
