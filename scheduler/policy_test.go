package scheduler_test

import (
	"os"
	"strings"
	"testing"
)

// The policy file is read aloud after outages, so its size is bounded.
const (
	mostLines = 980
	mostWidth = 110
)

func TestPolicyFileStaysShort(t *testing.T) {
	data, err := os.ReadFile("logic.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for number, line := range strings.Split(string(data), "\n") {
		if strings.TrimSpace(line) != "" {
			lines++
		}
		if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > mostWidth {
			t.Errorf("line %d is %d characters wide", number+1, width)
		}
	}
	if lines > mostLines {
		t.Errorf("%d lines that are not blank, at most %d", lines, mostLines)
	}
}
