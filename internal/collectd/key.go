package collectd

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

const (
	// maxUser bounds a user's bytes. Higher, a packet has less room for values; lower, users that collectd takes are
	// rejected.
	maxUser = 64
	// maxKeyFile bounds the bytes of a key file, so that a wrong path is noticed before the file is read. Lower, a
	// long AuthFile is rejected.
	maxKeyFile = 64 << 10
	// othersAccess are the permissions of group and others.
	othersAccess = 0o077
)

// The faults of a key file.
var (
	ErrKeyFileMode     = errors.New("others than its owner may use it, make it 0600")
	ErrKeyFileTooLarge = errors.New("over 64 KiB")
	ErrKeyLine         = errors.New(`not "user: secret"`)
	ErrNoKey           = errors.New("it holds no key")
)

// Key is a user and the secret that protects its packets.
type Key struct{ User, Secret string }

// ReadKey reads a file of lines "user: secret", the form of collectd's AuthFile, and returns the key of user, or the
// first one if user is empty. A file that others than its owner may use is rejected.
func ReadKey(path, user string) (Key, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Key{}, err
	}
	if mode := info.Mode().Perm(); mode&othersAccess != 0 {
		return Key{}, fmt.Errorf("%s: its mode is %04o: %w", path, mode, ErrKeyFileMode)
	}
	if info.Size() > maxKeyFile {
		return Key{}, fmt.Errorf("%s: %w", path, ErrKeyFileTooLarge)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Key{}, err
	}
	key, err := findKey(string(text), user)
	if err != nil {
		return Key{}, fmt.Errorf("%s: %w", path, err)
	}
	return key, nil
}

// findKey returns the key of user, or the first one if user is empty. Lines behind it are not read.
func findKey(text, user string) (Key, error) {
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		key, err := parseKey(line)
		if err != nil {
			return Key{}, fmt.Errorf("line %d: %w", i+1, err)
		}
		if user == "" || user == key.User {
			return key, nil
		}
	}
	if user == "" {
		return Key{}, ErrNoKey
	}
	return Key{}, fmt.Errorf("%w of user %q", ErrNoKey, user)
}

func parseKey(line string) (Key, error) {
	name, secret, found := strings.Cut(line, ":")
	key := Key{User: strings.TrimSpace(name), Secret: strings.TrimSpace(secret)}
	if !found || key.User == "" || key.Secret == "" || len(key.User) > maxUser {
		return Key{}, ErrKeyLine
	}
	return key, nil
}
