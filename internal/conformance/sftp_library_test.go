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

// TestSFTPLibraryClient runs an independent client library against the SFTP server.
//
// The library writes 64 pieces at a time. Each piece has an effect on the same path, and the recorder would report
// repeated effects. So this test does not run the recorder's checks.
func TestSFTPLibraryClient(t *testing.T) {
	b := newTestbed(t, newSFTPProtocol())
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		t.Fatal(err)
	}
	c, err := sftp.NewClientPipe(conn, conn)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()

	data := bytes.Repeat([]byte("lesson "), 20_000)
	writeFile(t, c, "/d/course", data)
	readFile(t, c, "/d/course", data)
	if info, err := c.Stat("/d/course"); err != nil || info.Size() != int64(len(data)) {
		t.Errorf("stat: %v, %v", info, err)
	}
	if list, err := c.ReadDir("/d"); err != nil || len(list) != 1 || list[0].Name() != "course" {
		t.Errorf("list: %v, %v", list, err)
	}
	if err := c.Remove("/d/course"); err != nil {
		t.Error(err)
	}
	if _, err := c.Stat("/d/course"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("stat after remove: %v, want that the file does not exist", err)
	}
	if _, err := c.Open("/elsewhere"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("open a path outside all volumes: %v, want that the file does not exist", err)
	}
	var status *sftp.StatusError
	if err := c.Mkdir("/d/x"); !errors.As(err, &status) || status.FxCode() != sftp.ErrSSHFxOpUnsupported {
		t.Errorf("mkdir: %v, want an unsupported operation", err)
	}
}

func writeFile(t *testing.T, c *sftp.Client, path string, data []byte) {
	t.Helper()
	file, err := c.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := file.Write(data); err != nil || n != len(data) {
		t.Fatalf("wrote %d bytes, %v", n, err)
	}
	if err := file.Close(); err != nil {
		t.Error(err)
	}
}

func readFile(t *testing.T, c *sftp.Client, path string, want []byte) {
	t.Helper()
	file, err := c.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	if got, err := io.ReadAll(file); err != nil || !bytes.Equal(got, want) {
		t.Errorf("read %d bytes, %v, want the %d written bytes", len(got), err, len(want))
	}
}
