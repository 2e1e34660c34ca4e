package collectd

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha1"
	"crypto/sha256"
	"encoding/binary"
)

// Security is the way in which packets are protected.
type Security int

// The ways to protect packets.
const (
	Unprotected Security = iota
	Signed               // HMAC-SHA-256 of user and packet
	Encrypted            // AES-256 of checksum and packet
)

// userLengthBytes is the size of the length of the user in an encrypted packet.
const userLengthBytes = 2

// overhead returns how many bytes the protection adds to a packet.
func (e *Encoder) overhead() int {
	switch e.Security {
	case Signed:
		return partHead + sha256.Size + len(e.Key.User)
	case Encrypted:
		return partHead + userLengthBytes + len(e.Key.User) + aes.BlockSize + sha1.Size
	default:
		return 0
	}
}

// protect signs or encrypts a packet, or returns it unchanged, depending on Security.
func (e *Encoder) protect(packet []byte) ([]byte, error) {
	switch e.Security {
	case Signed:
		return e.sign(packet), nil
	case Encrypted:
		return e.encrypt(packet)
	default:
		return packet, nil
	}
}

// sign prepends a part that contains the user and the HMAC-SHA-256 of user and packet.
func (e *Encoder) sign(packet []byte) []byte {
	mac := hmac.New(sha256.New, []byte(e.Key.Secret))
	mac.Write([]byte(e.Key.User))
	mac.Write(packet)
	b := appendPartHead(nil, partSignature, e.overhead())
	b = mac.Sum(b)
	b = append(b, e.Key.User...)
	return append(b, packet...)
}

// encrypt encrypts the SHA-1 checksum of the packet and the packet with AES-256 in output feedback mode. The key is the
// SHA-256 of the secret. The user and the initialization vector come first, unencrypted.
func (e *Encoder) encrypt(packet []byte) ([]byte, error) {
	key := sha256.Sum256([]byte(e.Key.Secret))
	block, err := aes.NewCipher(key[:])
	if err != nil {
		return nil, err
	}
	iv := make([]byte, aes.BlockSize)
	if _, err := rand.Read(iv); err != nil {
		return nil, err
	}
	checksum := sha1.Sum(packet)
	plain := append(checksum[:], packet...)
	b := appendPartHead(nil, partEncrypted, len(packet)+e.overhead())
	b = binary.BigEndian.AppendUint16(b, uint16(len(e.Key.User)))
	b = append(b, e.Key.User...)
	b = append(b, iv...)
	start := len(b)
	b = append(b, plain...)
	cipher.NewOFB(block, iv).XORKeyStream(b[start:], plain) //nolint:staticcheck // the protocol has this mode
	return b, nil
}
