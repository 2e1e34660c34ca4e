package conformance

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"junctionwharf/broker"
)

// The scenarios of this file are about clients, and about the server's settings and stop as they see them.

// Clients send what is no command, or nothing. The server ends their connections in time, and others are served.
func testMalformedClients(b *testbed) {
	b.client.prepare(b.T, "r1", "r2")
	b.recorder.play(func(_, id string, _ int) behavior {
		if id == "hang" {
			return hang
		}
		return serve
	})
	stillOpen := make(chan string)
	inputs := b.protocol.malformedInputs()
	for name, text := range inputs {
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(3*time.Second + slack))
		go func() {
			_, _ = io.WriteString(conn, text)
			if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
				stillOpen <- name
				return
			}
			stillOpen <- ""
		}()
	}
	b.want(b.run(read, "r1"), served)
	for range inputs {
		if name := <-stillOpen; name != "" {
			b.Errorf("%s: the connection is open after 3 s", name)
		}
	}
	b.want(b.run(read, "r2"), served)
	eventually(b.T, "nothing of them is left", func() bool {
		return b.loop.OpenRequests() == 0 && b.server.Count() == 1
	})
}

// A class is renamed while a request of it is in flight. The request ends, and is counted, under the old name; the next
// one is of the new class.
func testNewSettings(b *testbed) {
	b.client.prepare(b.T, "r", "r1", "r2")
	release := make(chan struct{})
	b.recorder.play(func(_, id string, _ int) behavior {
		if id == "r" {
			<-release
		}
		return serve
	})
	b.client.send("r", read)
	eventually(b.T, "the request is admitted", func() bool { return b.loop.OpenRequests() == 1 })
	set := settings()
	set.Classes[0].Name = "newer"
	b.loop.Post(broker.SettingsChanged{Settings: set})
	b.protocol.applySettings(b.server, b.client, set, "newer")
	close(release)
	b.want([]result{b.answerTo("r", read, time.Now())}, served)
	b.want(b.run(read, "r1"), served)
	counts := map[string]uint64{}
	for _, f := range b.loop.Metrics.Read() {
		counts[f.Name] = f.Value
	}
	if counts["success.newer"] != 1 || counts["success.read"] == 0 {
		b.Errorf("counted %v", counts)
	}
}

// A client closes its connection while its request hangs at a node. Neither the request nor the connection stays.
func testClientDisconnects(b *testbed) {
	b.client.prepare(b.T, "r")
	b.recorder.play(always(hang))
	b.client.send("r", read)
	b.recorder.awaitAttempts(b.T, "r", 1)
	b.client.close()
	eventually(b.T, "the request is forgotten", func() bool {
		return b.loop.OpenRequests() == 0 && b.server.Count() == 0
	})
}

// The server drains while a write is in flight. The write is answered and its connection closed; a request that crosses
// the end of its connection is still answered; after Close nothing listens.
func testGracefulStop(b *testbed) {
	b.client.prepare(b.T, "w")
	release := make(chan struct{})
	b.recorder.play(func(string, string, int) behavior {
		<-release
		return serve
	})
	b.client.send("w", write)
	eventually(b.T, "the request is admitted", func() bool { return b.loop.OpenRequests() == 1 })
	b.server.Drain()
	close(release)
	b.answerTo("w", write, time.Now())
	eventually(b.T, "the connection is closed", func() bool { return b.server.Count() == 0 })

	b.client = b.protocol.client(b.T, b.address)
	b.recorder.play(always(serve))
	b.client.prepare(b.T, "r")
	if b.protocol.name() == "resp" { // an SFTP client's prepare has sent its first command already
		b.client.send("r", read)
		b.answerTo("r", read, time.Now())
	}
	b.server.Close()
	eventually(b.T, "all connections are closed", func() bool { return b.server.Count() == 0 })
	if _, err := net.Dial("tcp", b.address); err == nil {
		b.Error("the server still listens")
	}
}
