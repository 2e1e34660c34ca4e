package collectd

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

const (
	// maxUser is the maximum length of a user in bytes. With a larger maximum, a packet has less room for values. With
	// a smaller maximum, users that collectd accepts are rejected.
	maxUser = 64
	// maxKeyFile is the maximum size of a key file in bytes, so that a wrong path is detected before the file is read.
	// With a smaller maximum, a long AuthFile is rejected.
	maxKeyFile = 64 << 10
	// othersAccess is the mask of the permissions of group and others.
	othersAccess = 0o077
)

// The errors of ReadKey for the content and the mode of a key file.
var (
	ErrKeyFileMode     = errors.New("key file is accessible to group or others, want mode 0600")
	ErrKeyFileTooLarge = errors.New("key file is larger than 64 KiB")
	ErrKeyLine         = errors.New(`key does not have the form "user: secret"`)
	ErrNoKey           = errors.New("key file contains no key")
)

// Key is a user and the secret that protects the user's packets.
type Key struct{ User, Secret string }

// ReadKey reads the key of user from a file of lines "user: secret", the format of collectd's AuthFile. If user is
// empty, it returns the first key. It rejects a file that group or others can access.
func ReadKey(path, user string) (Key, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Key{}, err
	}
	if mode := info.Mode().Perm(); mode&othersAccess != 0 {
		return Key{}, fmt.Errorf("%s: mode %04o: %w", path, mode, ErrKeyFileMode)
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

// findKey returns the key of user, or the first key if user is empty. It does not read the lines after that key.
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
	return Key{}, fmt.Errorf("%w for user %q", ErrNoKey, user)
}

func parseKey(line string) (Key, error) {
	name, secret, found := strings.Cut(line, ":")
	key := Key{User: strings.TrimSpace(name), Secret: strings.TrimSpace(secret)}
	if !found || key.User == "" || key.Secret == "" || len(key.User) > maxUser {
		return Key{}, ErrKeyLine
	}
	return key, nil
}
