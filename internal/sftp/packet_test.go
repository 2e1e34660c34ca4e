package sftp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"junctionwharf/broker"
)

func FuzzPacket(f *testing.F) {
	f.Add(allCommands)
	f.Add(join(encodeStatus(1, statusFailure, busyText), encodePacket(typeData, 2, encodeString("abc"))))
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := bufio.NewReader(bytes.NewReader(input))
		for {
			p, err := readPacket(reader)
			if err != nil {
				return
			}
			if again := join(encodePacket(p.kind, p.id, p.body)); !bytes.Contains(input, again) {
				t.Fatalf("read packet %x, which is not part of the input", again)
			}
			_, _ = resultOf(p) // must not panic
		}
	})
}

// A client's bytes may arrive in pieces of any size. The sizes must not change the packets that are read. Reading a
// truncated packet must fail.
func TestPacketsMayBeCutAnywhere(t *testing.T) {
	reader := bufio.NewReader(iotest.OneByteReader(bytes.NewReader(allCommands)))
	var kinds []byte
	for {
		p, err := readPacket(reader)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		kinds = append(kinds, p.kind)
	}
	want := []byte{
		typeInit, typeOpen, typeOpendir, typeReaddir, typeStat, typeRemove, unknownType, typeRead, typeClose,
	}
	if !bytes.Equal(kinds, want) {
		t.Errorf("packet types %v, want %v", kinds, want)
	}
	initBytes := lengthBytes + headerBytes
	for n := 1; n < 20; n++ {
		cut := allCommands[initBytes : initBytes+n]
		if _, err := readPacket(bufio.NewReader(bytes.NewReader(cut))); err == nil {
			t.Errorf("a packet truncated to %d bytes was read without an error", n)
		}
	}
}

// A status from a node completes the command, reports an error, or reports that the node rejected the command. A packet
// of an unknown type is an error.
func TestResultOfStatus(t *testing.T) {
	for _, test := range []struct {
		code  uint32
		text  string
		reply broker.Reply
	}{
		{statusOK, "", broker.ReplyOK},
		{statusEOF, "", broker.ReplyOK},
		{statusNoSuchFile, "no such file", broker.ReplyOK},
		{statusDenied, "", broker.ReplyOK},
		{statusFailure, "disk", broker.ReplyError},
		{statusFailure, busyText, broker.ReplyRejected},
		{6, "", broker.ReplyError},
		{7, "", broker.ReplyError},
		{99, "", broker.ReplyError},
	} {
		result, err := resultOf(packet{kind: typeStatus, body: statusBody(test.code, test.text)})
		if err != nil || result.Reply != test.reply {
			t.Errorf("status %d %q: reply %v, error %v, want %v", test.code, test.text, result.Reply, err, test.reply)
		}
	}
	if _, err := resultOf(packet{kind: 77}); !errors.Is(err, errPacket) {
		t.Errorf("unknown packet type: error %v, want %v", err, errPacket)
	}
}

// The status text states that a command was rejected, with the time until a retry, or that it may have been executed.
func TestEncodeResponse(t *testing.T) {
	for want, response := range map[string]broker.Response{
		"BUSY: come again after 151 ms":      {Verdict: broker.Rejected, RetryAfter: 150_001},
		"failed: it may or may not have run": {Verdict: broker.Failed},
	} {
		if got := join(encodeResponse(9, response, nil)); !bytes.Contains(got, []byte(want)) {
			t.Errorf("answer %q does not contain %q", got, want)
		}
	}
}
