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

// userLengthSize is the size in bytes of the field with the length of the user's name in an encrypted part.
const userLengthSize = 2

// verifySignature checks the signature in body: the HMAC-SHA-256, keyed with the user's secret, of the user's name and
// rest, which is the remainder of the packet.
func verifySignature(secrets map[string]string, body, rest []byte) error {
	if len(body) <= sha256.Size {
		return errNoSigner
	}
	user := string(body[sha256.Size:])
	secret, known := secrets[user]
	if !known {
		return fmt.Errorf("signed by unknown user %q", user)
	}
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte(user))
	mac.Write(rest)
	if !hmac.Equal(mac.Sum(nil), body[:sha256.Size]) {
		return fmt.Errorf("signed by user %q with a wrong key: signature does not match", user)
	}
	return nil
}

// decrypt decrypts an encrypted part and returns its content. The part consists of the length of a user's name in two
// bytes, the name, an initialization vector of 16 bytes, and the ciphertext (AES-256 in output feedback mode). The
// plaintext consists of the SHA-1 sum of the content and the content.
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
		return nil, fmt.Errorf("encrypted by unknown user %q", user)
	}
	plain, err := decryptOFB(secret, body[userEnd:vectorEnd], body[vectorEnd:])
	if err != nil {
		return nil, err
	}
	sum := sha1.Sum(plain[sha1.Size:])
	if !bytes.Equal(sum[:], plain[:sha1.Size]) {
		return nil, fmt.Errorf("encrypted by user %q with a wrong key: checksum does not match", user)
	}
	return plain[sha1.Size:], nil
}

// decryptOFB decrypts sealed with AES-256 in output feedback mode. The key is the SHA-256 sum of the secret.
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
