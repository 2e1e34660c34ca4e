package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"junctionwharf/internal/golden"
)

// Operators read the answers of the agree calls as tables: they stay as they are.
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

// An answer that is not JSON is an error, not an empty table.
func TestPrintFaultyAnswer(t *testing.T) {
	for _, call := range []string{"status", "members", "history", "diff", "export"} {
		if err := printAgree(&bytes.Buffer{}, call, []byte("{")); err == nil {
			t.Errorf("%s: no error", call)
		}
	}
}
