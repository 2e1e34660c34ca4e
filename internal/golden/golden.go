// Package golden compares test output with golden files under the testdata folder of the package under test. The output
// is data that leaves the process: on the wire, on disk or to an operator. An earlier version recorded the files. A
// difference means that processes of that version, or programs that read the data, would no longer understand it.
//
// State and owner. The package has no state except its flag. Its functions run in the test that calls them.
//
// Units. Files are compared byte for byte.
package golden

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

// folder contains a package's golden files. Its path is relative to the package's folder, in which its tests run.
const folder = "testdata"

var record = flag.Bool("record", false, "rewrite the golden files under testdata, for an intended change of format")

// Recording reports whether the golden files are to be rewritten, for tests that compare their files themselves.
func Recording() bool { return *record }

// Check compares got with the golden file of the given name.
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

// CheckJSON compares the JSON encoding of value, followed by ending, with a golden file. It also decodes the file into
// decoded, which must be a pointer, and checks that encoding decoded yields the bytes of the file.
func CheckJSON(t testing.TB, name string, value, decoded any, ending string) {
	t.Helper()
	Check(t, name, encode(t, value, ending))
	want := read(t, filepath.Join(folder, name))
	if err := json.Unmarshal(want, decoded); err != nil {
		t.Fatal(err)
	}
	if again := encode(t, decoded, ending); !bytes.Equal(again, want) {
		t.Errorf("%s: decoded and encoded again as:\n%s", name, again)
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
