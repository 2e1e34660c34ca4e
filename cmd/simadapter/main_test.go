package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const settings = `{"classes":[{"name":"read","aim":300000,"deadline":2000000,"effect":"safe","importance":1}],` +
	`"serviceLevels":[{"name":"low","nominal":5,"floorRate":5}],"nInstances":2,"ordinal":%d,` +
	`"bounds":{"peers":true},"specifics":{"usualUnits":2,"maxUnits":8}}`

// script is a short day of the named gateways.
func script(names ...string) string {
	var b strings.Builder
	b.WriteString("FRAME 1000 1\n")
	for i, who := range names {
		fmt.Fprintf(&b, "START %s 4 %s\n", who, fmt.Sprintf(settings, i))
		b.WriteString("LIST 0 1\nM 10.0.0.1:80 a std 0 in_service 1 -\n")
		fmt.Fprintf(&b, "MEMBERSHIP %s cached 1 0\n", who)
	}
	b.WriteString("EOF_BATCH\n")
	for step := range 40 {
		fmt.Fprintf(&b, "FRAME %d %d\n", 2000+step*50000, step+2)
		for _, who := range names {
			fmt.Fprintf(&b, "KNOCK %s %d read low - 2000000 v%d 2 0 2 0 0\nALARM %s 1\n", who, step+1, step%3, who)
		}
		b.WriteString("EOF_BATCH\n")
	}
	return b.String()
}

func TestInstancesTogetherActAsApart(t *testing.T) {
	actionsOf := func(who, input string) string {
		var out bytes.Buffer
		if err := run(strings.NewReader(input), &out); err != nil {
			t.Fatal(err)
		}
		var lines []string
		for line := range strings.Lines(out.String()) {
			if strings.Contains(line, who) || strings.HasPrefix(line, "NEXT") {
				lines = append(lines, line)
			}
		}
		return strings.Join(lines, "")
	}
	together := actionsOf("gateway_0", script("gateway_0", "gateway_1"))
	if apart := actionsOf("gateway_0", script("gateway_0")); apart != together {
		t.Errorf("together:\n%s\napart:\n%s", together, apart)
	}
	if !strings.Contains(together, "SUBMIT_TO gateway_0 1 10.0.0.1:80") {
		t.Error("nothing was sent")
	}
}

func TestRunRefusesWhatItCannotRoute(t *testing.T) {
	for input, want := range map[string]string{
		"FRAME 1 1\nALARM gateway_9 1\nEOF_BATCH\n":    "not running",
		"FRAME 1 1\nSTART gateway_0 1 {}\nEOF_BATCH\n": "line 2: start gateway_0: settings",
		"rubbish\n": "line 1",
	} {
		err := run(strings.NewReader(input), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", input, err, want)
		}
	}
}

func TestHaltedInstanceIsSilent(t *testing.T) {
	input := script("gateway_0") + "FRAME 9000000 99\nALARM gateway_0 1\nHALT gateway_0\nEOF_BATCH\n"
	var out bytes.Buffer
	if err := run(strings.NewReader(input), &out); err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(out.String(), "\nNEXT 99\n") || strings.Contains(out.String(), "FATAL") {
		t.Error("no plain reply to the last batch")
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if !strings.HasPrefix(lines[len(lines)-2], "NEXT") {
		t.Errorf("a halted instance acts: %s", lines[len(lines)-2])
	}
}
