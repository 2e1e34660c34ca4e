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
	// maxHelloBytes bounds the first frame of a connection, which anybody can send.
	maxHelloBytes = 4 << 10
	// maxFrameBytes bounds every other frame. It must exceed the largest document; a peer can have a reader spend that
	// much memory, as it sends it.
	maxFrameBytes = 16 << 20
	frameHeader   = 4 // bytes of a frame's length, big-endian
)

// frameSizeError is returned for a frame that is too large.
type frameSizeError struct{ size, limit int }

func (e *frameSizeError) Error() string {
	return fmt.Sprintf("a frame of %d bytes, at most %d may come", e.size, e.limit)
}

// readFrame reads a frame and returns how many bytes that took. What a peer announces takes no memory before it comes.
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
		return frame{}, size, fmt.Errorf("a frame of %d bytes: %w", size, err)
	}
	return f, size + frameHeader, nil
}

// writeFrame writes a frame in one call and returns how many bytes that took.
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
