package conformance

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"

	"github.com/pkg/sftp"
)

// TestOtherClient runs an independent client library against the file front.
func TestOtherClient(t *testing.T) {
	b := newBench(t, sftpProtocol{&files{data: map[string][]byte{}}})
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	// It would write 64 pieces at a time, each with an effect of its own on one path, which the suite's
	// world takes for repeats; the world's checks are not what this test is after.
	c, err := sftp.NewClientPipe(conn, conn)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	data := bytes.Repeat([]byte("lesson "), 20_000)
	f, err := c.Create("/d/course")
	if err != nil {
		t.Fatal(err)
	}
	if n, err := f.Write(data); err != nil || n != len(data) {
		t.Fatalf("wrote %d, %v", n, err)
	}
	if err := f.Close(); err != nil {
		t.Error(err)
	}
	if f, err = c.Open("/d/course"); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(f); err != nil || !bytes.Equal(got, data) {
		t.Errorf("read %d bytes, %v", len(got), err)
	}
	_ = f.Close()
	if info, err := c.Stat("/d/course"); err != nil || info.Size() != int64(len(data)) {
		t.Errorf("%v, %v", info, err)
	}
	if list, err := c.ReadDir("/d"); err != nil || len(list) != 1 || list[0].Name() != "course" {
		t.Errorf("%v, %v", list, err)
	}
	if err := c.Remove("/d/course"); err != nil {
		t.Error(err)
	}
	if _, err := c.Stat("/d/course"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v", err)
	}
	if _, err := c.Open("/elsewhere"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a path of no volume: %v", err)
	}
	var status *sftp.StatusError
	if err := c.Mkdir("/d/x"); !errors.As(err, &status) || status.FxCode() != sftp.ErrSSHFxOpUnsupported {
		t.Errorf("mkdir: %v", err)
	}
}
