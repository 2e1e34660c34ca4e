package conformance

import (
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"time"

	"junctionwharf/broker"
)

// The scenarios in this file are about clients, and about new settings and the stop of the server as clients see them.

// Clients send malformed input or nothing. The server must close their connections in time and still serve others.
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
			b.Errorf("%s: the connection is still open after 3 s, want it closed by the server", name)
		}
	}
	b.want(b.run(read, "r2"), served)
	eventually(b.T, "no request and no connection of the malformed clients remains", func() bool {
		return b.loop.OpenRequests() == 0 && b.server.Count() == 1
	})
}

// Commands that are well framed but cannot be accepted stand between requests. Each must get an error, and the requests
// before and behind them on the connection, which stays open, must be served: the server dropped these.
func testRefusedCommands(b *testbed) {
	b.client.prepare(b.T, "r1", "r2", "r3", "r4")
	release := make(chan struct{})
	b.recorder.play(func(string, string, int) behavior {
		<-release
		return serve
	})
	b.client.send("r1", read)
	want := map[outcome]int{served: 3}
	want[refused] += b.client.sendRefused("r1")
	b.client.send("r2", read)
	want[refused] += b.client.sendRefused("r1")
	b.client.send("r3", read)
	eventually(b.T, "all requests are admitted", func() bool { return b.loop.OpenRequests() == 3 })
	close(release)
	got := map[outcome]int{}
	for range want[served] + want[refused] {
		result, err := b.client.receive()
		if err != nil {
			b.Fatal(err)
		}
		got[result]++
	}
	if !maps.Equal(got, want) {
		b.Errorf("outcomes %v, want %v", got, want)
	}
	b.want(b.run(read, "r4"), served)
}

// A class is renamed while a request of the class is in flight. The success of this request must be
// counted under the old name, that of the next request under the new name.
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
		b.Errorf("counted %v, want one success of newer and at least one of read", counts)
	}
}

// A client closes its connection while a node holds its request without answering. The broker must remove the request
// and the connection.
func testClientDisconnects(b *testbed) {
	b.client.prepare(b.T, "r")
	b.recorder.play(always(hang))
	b.client.send("r", read)
	b.recorder.awaitAttempts(b.T, "r", 1)
	b.client.close()
	eventually(b.T, "the request and the connection are removed", func() bool {
		return b.loop.OpenRequests() == 0 && b.server.Count() == 0
	})
}

// The server drains while a write is in flight. The write must be answered and its connection closed. A request on a
// connection that is made during the drain must still be answered: a read with RESP, the OPEN of prepare with SFTP.
// After Close the server must not listen.
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
	if b.protocol.name() == "resp" { // prepare sends no request with RESP
		b.client.send("r", read)
		b.answerTo("r", read, time.Now())
	}
	b.server.Close()
	eventually(b.T, "all connections are closed", func() bool { return b.server.Count() == 0 })
	if _, err := net.Dial("tcp", b.address); err == nil {
		b.Error("the server still listens")
	}
}
