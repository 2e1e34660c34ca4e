package sftp

import (
	"bytes"
	"net"
	"testing"
	"time"

	"junctionwharf/broker"
	"junctionwharf/internal/clientconn"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

// join concatenates the bytes of the given packets.
func join(messages ...net.Buffers) []byte {
	var all []byte
	for _, message := range messages {
		all = append(all, bytes.Join(message, nil)...)
	}
	return all
}

// firstHandle is the name of the first handle that a session creates.
const firstHandle = "\x00\x00\x00\x00\x00\x00\x00\x01"

// unknownType is the type of a packet that the server does not know.
const unknownType = 200

// allCommands is the input of a client that uses every command.
var allCommands = join(
	encodePacket(typeInit, protocolVersion),
	encodePacket(typeOpen, 1, encodeString("/d/f"), encodeUint32(flagRead|flagWrite|flagCreate), encodeUint32(0)),
	encodePacket(typeOpendir, 2, encodeString("/d")),
	encodePacket(typeReaddir, 3, encodeString(firstHandle)),
	encodePacket(typeStat, 4, encodeString("/d/f")),
	encodePacket(typeRemove, 5, encodeString("/d/f")),
	encodePacket(unknownType, 6, encodeString("other")),
	encodePacket(typeRead, 7, encodeString("none"), encodeUint64(0), encodeUint32(10)),
	encodePacket(typeClose, 8, encodeString(firstHandle)),
)

// testMapping maps /d to the volume v and /d/deep to the volume w. One unit is 10 bytes.
func testMapping(t testing.TB) *Mapping {
	t.Helper()
	settings := scheduler.Settings{
		Brokers:  1,
		MaxUnits: 8,
		Plans:    []scheduler.Plan{{Name: "plan"}},
		Classes: []scheduler.Class{
			{Name: "read", LatencyObjective: time.Second, Deadline: 2 * time.Second},
			{
				Name: "write", LatencyObjective: time.Second, Deadline: 2 * time.Second,
				Idempotency: scheduler.NotIdempotent,
			},
		},
	}
	commands := map[Command]CommandSettings{}
	for _, command := range Commands {
		class := "read"
		if command.mutates() {
			class = "write"
		}
		commands[command] = CommandSettings{Class: class}
	}
	m := &Mapping{
		UnitBytes: 10,
		Commands:  commands,
		Volumes: []Volume{
			{Prefix: "/d", Volume: "v", Plan: "plan", Shard: 4},
			{Prefix: "/d/deep", Volume: "w", Plan: "plan", Shard: 5},
		},
	}
	if err := m.Check(settings); err != nil {
		t.Fatal(err)
	}
	return m
}

// newTestSession returns a session on one end of a pipe. Its loop never runs, so commands stay pending.
func newTestSession(t testing.TB) (s *session, client net.Conn) {
	t.Helper()
	state, err := broker.NewState(scheduler.Settings{
		Brokers: 1,
		Classes: []scheduler.Class{{Name: "read", LatencyObjective: time.Second}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	loop := broker.NewLoop(state, broker.NewClock(), nil, broker.Dependencies{})
	logger := logging.ToFunc(func(line string) { t.Error(line) })
	server := NewServer(loop, nil, testMapping(t), 1, clientconn.NewByteBudget(1<<20), logger)
	near, far := net.Pipe()
	return newSession(server, near), far
}

// newLoopbackSession is newTestSession with a loopback connection, whose end the server can notice without reading.
func newLoopbackSession(t *testing.T) (s *session, client net.Conn) {
	t.Helper()
	unconnected, _ := newTestSession(t)
	connected, client := newConnectedSession(t)
	s = newSession(unconnected.server, connected.conn)
	s.awaitingFirst = s.server.Add(s)
	return s, client
}
