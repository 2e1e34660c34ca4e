// Package golden compares in tests what leaves the process, on the wire, on a disk or to an operator, with files under
// the testdata folder of the package under test. The files were written by an earlier version: a difference means that
// a process of that version, or a program that reads the answers, would not be understood any more.
//
// State: none but the flag. Owner: the test that calls. Units: bytes.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

// folder is where a package's golden files lie, from the folder in which its tests run.
const folder = "testdata"

var record = flag.Bool("record", false, "write the golden files under testdata again: only for a change of the format that is meant")

// Recording reports whether the files are to be written again, for tests with a format of their own.
func Recording() bool { return *record }

// Check compares bytes with a golden file.
func Check(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join(folder, name)
	if *record {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if want := read(t, path); !bytes.Equal(got, want) {
		t.Errorf("%s:\n%s\nwant:\n%s", name, got, want)
	}
}

// CheckJSON compares the JSON of a value, with an ending behind it, with a golden file. It reads the file into decoded,
// a pointer, and expects the same bytes of that.
func CheckJSON(t testing.TB, name string, value, decoded any, ending string) {
	t.Helper()
	Check(t, name, encode(t, value, ending))
	want := read(t, filepath.Join(folder, name))
	if err := json.Unmarshal(want, decoded); err != nil {
		t.Fatal(err)
	}
	if again := encode(t, decoded, ending); !bytes.Equal(again, want) {
		t.Errorf("%s: encoded again:\n%s", name, again)
	}
}

func encode(t testing.TB, value any, ending string) []byte {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return append(encoded, ending...)
}

func read(t testing.TB, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
