package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"junctionwharf/internal/golden"
)

// Operators read the answers to the agree calls as tables, whose text must not change.
func TestPrintAnswers(t *testing.T) {
	for _, c := range []struct{ call, answer string }{
		{"status", "status"},
		{"status", "status-least"},
		{"members", "status"},
		{"history", "history"},
		{"diff", "diff"},
		{"export", "export"},
	} {
		answer, err := os.ReadFile(filepath.Join("testdata", c.answer+".json"))
		if err != nil {
			t.Fatal(err)
		}
		var printed bytes.Buffer
		if err := printAgree(&printed, c.call, answer); err != nil {
			t.Fatal(err)
		}
		golden.Check(t, c.call+"-of-"+c.answer+".txt", printed.Bytes())
	}
}

// An answer that is not valid JSON must give an error, not an empty table.
func TestPrintFaultyAnswer(t *testing.T) {
	for _, call := range []string{"status", "members", "history", "diff", "export"} {
		if err := printAgree(&bytes.Buffer{}, call, []byte("{")); err == nil {
			t.Errorf("%s: no error for an answer that is not JSON", call)
		}
	}
}
