package agreement

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxHelloBytes is the maximum size of a hello, which any process that can connect may send.
	maxHelloBytes = 4 << 10
	// maxFrameBytes is the maximum size of every other frame. It must exceed the size of the largest document. A peer
	// can make the reader allocate that much memory, by sending as many bytes.
	maxFrameBytes = 16 << 20
	frameHeader   = 4 // size of a frame's length field in bytes; the field is big-endian and does not count itself
)

// frameSizeError is returned for a frame that is too large.
type frameSizeError struct{ size, limit int }

func (e *frameSizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d bytes", e.size, e.limit)
}

// readFrame reads a frame and returns the number of bytes read. After an error, the number does not include the header.
// The buffer grows as data arrives: a large value in the length field alone does not allocate memory.
func readFrame(in *bufio.Reader, limit int) (f frame, n int, err error) {
	var header [frameHeader]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return frame{}, 0, err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > limit {
		return frame{}, 0, &frameSizeError{size, limit}
	}
	var body bytes.Buffer
	if n, err := io.CopyN(&body, in, int64(size)); err != nil {
		return frame{}, int(n), err
	}
	if err := msgpack.Unmarshal(body.Bytes(), &f); err != nil {
		return frame{}, size, fmt.Errorf("decode frame of %d bytes: %w", size, err)
	}
	return f, size + frameHeader, nil
}

// writeFrame writes a frame in one call of Write and returns the number of bytes written.
func writeFrame(to io.Writer, f frame) (n int, err error) {
	body, err := msgpack.Marshal(f)
	if err != nil {
		return 0, err
	}
	if len(body) > maxFrameBytes {
		return 0, &frameSizeError{len(body), maxFrameBytes}
	}
	message := make([]byte, 0, frameHeader+len(body))
	message = binary.BigEndian.AppendUint32(message, uint32(len(body)))
	message = append(message, body...)
	return to.Write(message)
}
