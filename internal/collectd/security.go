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

// Security says how packets are protected.
type Security int

// The ways to protect packets.
const (
	Unprotected Security = iota
	Signed               // HMAC-SHA-256 of user and packet
	Encrypted            // AES-256 of checksum and packet
)

// userLengthBytes is the size of the length before the user of an encrypted packet.
const userLengthBytes = 2

// overhead is how many bytes of a packet its protection takes.
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

// protect signs or encrypts a packet, as the settings say.
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

// sign puts a part with the HMAC-SHA-256 of user and packet, and the user, before the packet.
func (e *Encoder) sign(packet []byte) []byte {
	mac := hmac.New(sha256.New, []byte(e.Key.Secret))
	mac.Write([]byte(e.Key.User))
	mac.Write(packet)
	b := appendPartHead(nil, partSignature, e.overhead())
	b = mac.Sum(b)
	b = append(b, e.Key.User...)
	return append(b, packet...)
}

// encrypt encrypts the packet's SHA-1 and the packet by AES-256 in output feedback mode; the key is the secret's
// SHA-256. User and initialization vector stand before them in the clear.
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
