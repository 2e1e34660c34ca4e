package fakes

import (
	"bytes"
	"crypto/aes"
	"crypto/hmac"
	"crypto/sha1"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// userLengthSize is the length in bytes of what tells the length of a user's name in an encrypted part.
const userLengthSize = 2

// verifySignature checks a signature: HMAC-SHA-256 by the user's secret over the user's name and all that follows.
func verifySignature(secrets map[string]string, body, rest []byte) error {
	if len(body) <= sha256.Size {
		return errNoSigner
	}
	user := string(body[sha256.Size:])
	secret, known := secrets[user]
	if !known {
		return fmt.Errorf("signed by %q, who is unknown", user)
	}
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(user))
	mac.Write(rest)
	if !hmac.Equal(mac.Sum(nil), body[:sha256.Size]) {
		return fmt.Errorf("signed by %q with a wrong key", user)
	}
	return nil
}

// decrypt reads an encrypted part: the length of a user's name in two bytes, the name, 16 bytes of initialization
// vector, then under AES-256 in output feedback mode a SHA-1 sum and what it is of. It returns the latter.
func decrypt(secrets map[string]string, body []byte) ([]byte, error) {
	if len(body) < userLengthSize {
		return nil, errNoEncrypter
	}
	userEnd := userLengthSize + int(binary.BigEndian.Uint16(body))
	vectorEnd := userEnd + aes.BlockSize
	if len(body) < vectorEnd+sha1.Size {
		return nil, errShortEncrypted
	}
	user := string(body[userLengthSize:userEnd])
	secret, known := secrets[user]
	if !known {
		return nil, fmt.Errorf("encrypted by %q, who is unknown", user)
	}
	plain, err := decryptOFB(secret, body[userEnd:vectorEnd], body[vectorEnd:])
	if err != nil {
		return nil, err
	}
	sum := sha1.Sum(plain[sha1.Size:])
	if !bytes.Equal(sum[:], plain[:sha1.Size]) {
		return nil, fmt.Errorf("encrypted by %q with a wrong key", user)
	}
	return plain[sha1.Size:], nil
}

// decryptOFB decrypts by AES-256 in output feedback mode; the key is the secret's SHA-256.
func decryptOFB(secret string, vector, sealed []byte) ([]byte, error) {
	key := sha256.Sum256([]byte(secret))
	block, err := aes.NewCipher(key[:])
	if err != nil {
		return nil, err
	}
	plain := make([]byte, len(sealed))
	keystream := bytes.Clone(vector)
	for i := range sealed {
		if i%aes.BlockSize == 0 {
			block.Encrypt(keystream, keystream)
		}
		plain[i] = sealed[i] ^ keystream[i%aes.BlockSize]
	}
	return plain, nil
}
