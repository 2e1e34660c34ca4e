package collectd_test

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"junctionwharf/internal/collectd"
)

// writeKeyFile writes a key file with the given mode, regardless of the umask.
func writeKeyFile(t *testing.T, text string, mode os.FileMode) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chmod(path, mode); err != nil {
		t.Fatal(err)
	}
	return path
}

// ReadKey returns the key of the given user, or the first key if no user is given.
func TestReadKey(t *testing.T) {
	path := writeKeyFile(t, "# users\nwharf: s3cret\nother:  x y \n", 0o600)
	for user, want := range map[string]collectd.Key{
		"":      {User: "wharf", Secret: "s3cret"},
		"other": {User: "other", Secret: "x y"},
	} {
		if key, err := collectd.ReadKey(path, user); err != nil || key != want {
			t.Errorf("user %q: got %v, %v, want %v", user, key, err, want)
		}
	}
}

// The error for a faulty key file names the fault and its location.
func TestReadKeyFaults(t *testing.T) {
	for _, test := range []struct {
		text string
		mode os.FileMode
		user string
		want error
		says string
	}{
		{"wharf: s\n", 0o640, "", collectd.ErrKeyFileMode, "0640"},
		{"wharf: s\nrubbish\n", 0o600, "x", collectd.ErrKeyLine, "line 2"},
		{"", 0o600, "", collectd.ErrNoKey, "no key"},
		{"a: b\n", 0o600, "c", collectd.ErrNoKey, `"c"`},
		{":x\n", 0o600, "", collectd.ErrKeyLine, "line 1"},
		{strings.Repeat("#\n", 40<<10), 0o600, "", collectd.ErrKeyFileTooLarge, "64 KiB"},
	} {
		path := writeKeyFile(t, test.text, test.mode)
		_, err := collectd.ReadKey(path, test.user)
		if !errors.Is(err, test.want) || !strings.Contains(err.Error(), test.says) {
			t.Errorf("got error %v, want %v containing %q", err, test.want, test.says)
		}
	}
	if _, err := collectd.ReadKey(filepath.Join(t.TempDir(), "none"), ""); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: got error %v, want %v", err, fs.ErrNotExist)
	}
}
