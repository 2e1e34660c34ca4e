package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/admission"
	"junctionwharf/broker"
	"junctionwharf/internal/clientconn"
	"junctionwharf/internal/logging"
	"junctionwharf/scheduler"
)

func bulk(words ...string) string {
	text := fmt.Sprintf("*%d\r\n", len(words))
	for _, w := range words {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
	}
	return text
}

const listText = "c=read,t=gold,d=480,volume=00000003b4d60021,units=2,shard=5,hosts=3"

var (
	readText  = bulk("BLK.READ", "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41", listText)
	writeText = bulk("BLK.WRITE", "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41", listText+",k=7", "BODY\r\n*$")
	pingText  = bulk("PING")
)

// cuts is a connection whose reads end where a seeded source of chance says.
type cuts struct {
	net.Conn
	in  io.Reader
	rng *rand.Rand
}

func (c *cuts) Read(p []byte) (int, error) { return c.in.Read(p[:1+c.rng.IntN(min(len(p), 40))]) }

func (c *cuts) SetReadDeadline(time.Time) error { return nil }

// commands reads all of a client's text through the guard and redcon's reader.
func commands(text []byte, seed uint64) ([]redcon.Command, error) {
	rng := rand.New(rand.NewPCG(seed, 1))
	in := redcon.NewReader(&guard{Conn: &cuts{in: bytes.NewReader(text), rng: rng}, attached: true})
	var all []redcon.Command
	for {
		cmd, err := in.ReadCommand()
		if err != nil {
			return all, err
		}
		all = append(all, cmd)
	}
}

// Cuts anywhere must not change what a client said.
func TestCutsAnywhere(t *testing.T) {
	for seed := range uint64(200) {
		all, err := commands([]byte(readText+pingText+writeText), seed)
		if err != io.EOF || len(all) != 3 || string(all[2].Raw) != writeText {
			t.Fatalf("seed %d: %d commands, %v", seed, len(all), err)
		}
	}
}

// Lengths without bound, which redcon's reader would count or index by, must end the connection.
func TestGuardStopsLengths(t *testing.T) {
	for _, text := range []string{"*999999999\r\n", "*1\r\n$9223372036854775800\r\n", "*0\r\n", "*-1\r\n", "PING\r\n",
		"*1\r\n$\r\n", "*2\r\n$1\r\na\r\n:1\r\n", "*1\r\n$70000\r\n"} {
		if all, err := commands([]byte(readText+text), 1); !errors.Is(err, errProtocol) || len(all) > 1 {
			t.Errorf("%q: %d commands, %v", text, len(all), err)
		}
	}
}

func FuzzCommands(f *testing.F) {
	for _, text := range []string{readText, writeText, pingText, "*1\r\n$-1\r\n", "*3\r\n$1\r\na", "\x00\xff*"} {
		f.Add([]byte(text), uint64(1))
	}
	f.Fuzz(func(t *testing.T, text []byte, seed uint64) {
		all, _ := commands(text, seed)
		for _, cmd := range all {
			req, err := parse(cmd.Raw, cmd.Args)
			if err != nil {
				continue
			}
			forwarded(t, req, cmd.Args, broker.Second)
		}
	})
}

// forwarded checks that a node gets the client's command with only d changed.
func forwarded(t *testing.T, req *broker.Request, args [][]byte, wait broker.Micros) string {
	t.Helper()
	m := req.Message.(*message)
	before := string(m.raw)
	buffers := m.forward(wait)
	text := bytes.Join(buffers, nil)
	if string(m.raw) != before {
		t.Fatal("the client's bytes were changed")
	}
	all, err := commands(text, 1)
	if err != io.EOF || len(all) != 1 || len(all[0].Args) != len(args) {
		t.Fatalf("%q: %d commands, %v", text, len(all), err)
	}
	for i, arg := range all[0].Args {
		if i != 3 && !bytes.Equal(arg, args[i]) {
			t.Errorf("part %d is %q, was %q", i, arg, args[i])
		}
	}
	return string(all[0].Args[3])
}

func TestForward(t *testing.T) {
	for _, c := range []struct {
		wait broker.Micros
		list string
	}{{479_999, "d=479"}, {1_234_567, "d=1234"}, {99_000, "d=99"}, {-5, "d=1"}} {
		all, _ := commands([]byte(writeText), 1)
		req, err := parse(all[0].Raw, all[0].Args)
		if err != nil {
			t.Fatal(err)
		}
		want := strings.Replace(listText+",k=7", "d=480", c.list, 1)
		if list := forwarded(t, req, all[0].Args, c.wait); list != want {
			t.Errorf("after %d: %q, want %q", c.wait, list, want)
		}
	}
}

func TestParse(t *testing.T) {
	all, _ := commands([]byte(writeText), 1)
	r, err := parse(all[0].Raw, all[0].Args)
	if err != nil {
		t.Fatal(err)
	}
	if r.Class != "read" || r.Plan != "gold" || r.Timeout != 480_000 || r.Volume != "00000003b4d60021" || r.Units != 2 ||
		r.Shard != 5 || r.Brokers != 3 || !r.Write || r.Retry || r.Key != "7f3a9c21e0b4d655" {
		t.Errorf("%+v", r)
	}
	for _, words := range [][]string{{"GET", "a"}, {"BLK.READ", "7f3a9c21e0b4d655", "id", "c=read"},
		{"BLK.READ", "xyz", "id", listText}, {"BLK.READ", "7f3a9c21e0b4d655", "id", listText, "body"},
		{"BLK.READ", "7f3a9c21e0b4d655", "", listText}, {"BLK.READ", "7f3a9c21e0b4d655", "id", "c=read,d=5,d=6"},
		{"BLK.READ", "7f3a9c21e0b4d655", "id", "c=read,d=soon"}, {"BLK.READ", "7f3a9c21e0b4d655", "id", "c=read,units=1"},
		{"BLK.READ", "7f3a9c21e0b4d655", "id", "c=read,d=5,shard"}} {
		all, _ := commands([]byte(bulk(words...)), 1)
		if _, err := parse(all[0].Raw, all[0].Args); !errors.Is(err, errForm) {
			t.Errorf("%q: %v", words, err)
		}
	}
}

var testTerms = NewRequestLimits(scheduler.Settings{Brokers: 3, MaxUnits: 8, Classes: []scheduler.Class{{Name: "read"}}, Plans: []scheduler.Plan{{Name: "gold"}}}, 6)

// What no settings allow is turned away before the core hears of it.
func TestTerms(t *testing.T) {
	check := func(list string) error {
		all, _ := commands([]byte(bulk("BLK.READ", "7f3a9c21e0b4d655", "id", list)), 1)
		r, err := parse(all[0].Raw, all[0].Args)
		if err == nil {
			err = testTerms.check(r)
		}
		return err
	}
	if err := check(listText); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new string }{{"c=read", "c=reads"}, {"t=gold", "t=lead"}, {"c=read,", ""}, {"d=480", "d=0"},
		{"d=480", "d=-1"}, {"d=480", "d=60001"}, {"units=2", "units=9"}, {"units=2", "units=0"}, {"units=2", "units=NaN"},
		{"shard=5", "shard=6"}, {"shard=5", "shard=-2"}, {"hosts=3", "hosts=4"}, {"hosts=3", "hosts=0"}, {"volume=00000003b4d60021", "volume=x"}} {
		if err := check(strings.Replace(listText, c.old, c.new, 1)); !errors.Is(err, errForm) {
			t.Errorf("%s: %v", c.new, err)
		}
	}
}

var replies = []struct {
	text  string
	reply broker.Reply
	value string
	used  int
	cost  float64
	load  float64
	sound bool
}{
	{"*3\r\n$2\r\nhi\r\n$14\r\nused=37,cost=4\r\n$10\r\ninflight=7\r\n", broker.ReplyOK, "hi", 38, 4, 7, true},
	{"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", broker.ReplyOK, "", 0, 0, -1, true},
	{"*1\r\n$-1\r\n", broker.ReplyError, "", 0, 0, -1, true},
	{"-BUSY\r\n", broker.ReplyRejected, "", 0, 0, -1, true},
	{"-BUSY used=9 busy_reqs=3\r\n", broker.ReplyRejected, "", 10, 0, 3, true},
	{"-ERR failed used=1,cost=2 inflight=5\r\n", broker.ReplyError, "", 2, 2, 5, true},
	{"-SYNTAX\r\n", broker.ReplyError, "", 0, 0, -1, true},
	{"+noise that happens to begin like a status\r\n", 0, "", 0, 0, 0, false}, // served a client once, with nothing
	{"*99\r\n", 0, "", 0, 0, 0, false},
	{"$2\r\nhi\r\n", 0, "", 0, 0, 0, false},
	{"*1\r\n$258436\r\n" + strings.Repeat("x", 258436) + "\r\n", broker.ReplyOK, strings.Repeat("x", 258436), 0, 0, -1, true},
	{"*1\r\n$4194305\r\n" + strings.Repeat("x", 4194305) + "\r\n", 0, "", 0, 0, 0, false},
	{"*1\r\n$3000000000\r\n", 0, "", 0, 0, 0, false},
	{"*1\r\n$2\r\nhi!!", 0, "", 0, 0, 0, false},
	{"-" + strings.Repeat("x", 5000) + "\r\n", 0, "", 0, 0, 0, false},
}

// wholeReply reads an answer to its end, a long value through a client's connection.
func wholeReply(in *bufio.Reader) (broker.Result, error) {
	r, left, err := readReply(in)
	if err == nil && left.long > 0 {
		near, far := net.Pipe()
		got := make(chan []byte)
		go func() {
			all, _ := io.ReadAll(far)
			got <- all
		}()
		err = newStream(left.long, in, func(time.Duration) {}).passTo(near)
		near.Close()
		r.Value = bytes.TrimSuffix(<-got, []byte("\r\n"))
	}
	if err == nil {
		err = readRest(in, left.parts, &r)
	}
	return r, err
}

func TestReplies(t *testing.T) {
	for _, c := range replies {
		r, err := wholeReply(bufio.NewReader(iotest.OneByteReader(strings.NewReader(c.text))))
		if (err == nil) != c.sound {
			t.Errorf("%.40q: %v", c.text, err)
		}
		value, _ := r.Value.([]byte)
		if err == nil && (r.Reply != c.reply || string(value) != c.value || r.RateUsed != c.used || r.ServedElsewhere != c.cost ||
			r.Load.InFlight != c.load) {
			t.Errorf("%.40q: %+v", c.text, r)
		}
	}
}

func FuzzReply(f *testing.F) {
	for _, c := range replies {
		f.Add([]byte(c.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := wholeReply(bufio.NewReader(bytes.NewReader(text)))
		if value, _ := r.Value.([]byte); err == nil && len(value) > maxAnswer {
			t.Errorf("a value of %d bytes", len(value))
		}
	})
}

func TestAnswers(t *testing.T) {
	for want, final := range map[string]broker.Response{
		"$2\r\nhi\r\n":    {Verdict: broker.Served, Value: []byte("hi")},
		"-BUSY 151\r\n":   {Verdict: broker.Rejected, RetryAfter: 150_001},
		"-BUSY\r\n":       {Verdict: broker.Rejected},
		"-ERR failed\r\n": {Verdict: broker.Failed},
	} {
		if text := bytes.Join(answer(final), nil); string(text) != want {
			t.Errorf("%q, want %q", text, want)
		}
	}
}

// A client that sends nonsense gets an error behind its other answers, and its connection ends.
func TestMalformedEndsConnection(t *testing.T) {
	f := NewServer(nil, RequestLimits{}, 4, 4, 1<<20, logging.ToFunc(func(line string) { t.Log(line) }))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go f.Serve(ln)
	for _, text := range []string{"*9\r\n", "GET\r\n", bulk("NOTHING"), "*1\r\n$99999999999999999999\r\n", bulk("BLK.READ", "x", "y", "z")} {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, pingText+pingText+text)
		got, err := io.ReadAll(conn)
		if err != nil || !strings.HasPrefix(string(got), "+PONG\r\n+PONG\r\n-ERR ") || !strings.HasSuffix(string(got), "\r\n") {
			t.Errorf("%q: %q, %v", text, got, err)
		}
		conn.Close()
	}
}

// answered sends text to a front and returns what it answers until it ends the connection.
func answered(t *testing.T, address, text string) (string, time.Duration) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	began := time.Now()
	conn.SetDeadline(began.Add(10 * time.Second))
	io.WriteString(conn, text)
	got, err := io.ReadAll(conn)
	if err != nil {
		t.Errorf("%.40q: %v", text, err)
	}
	return string(got), time.Since(began)
}

// Silence and half a command end within three seconds of connecting, the latter in an error; a client that waits
// for its answer may be silent for longer than that.
func TestSlowClients(t *testing.T) {
	_, address := newServer(t)
	for text, want := range map[string]string{"": "", "*4\r\n$8\r\nBLK": "-ERR Protocol error", pingText + "*4\r\n": "+PONG\r\n-ERR Protocol error"} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			t.Parallel()
			got, took := answered(t, address, text)
			if !strings.HasPrefix(got, want) || (got == "") != (want == "") || took > 3200*time.Millisecond {
				t.Errorf("%q after %v", got, took)
			}
		})
	}
}

// The id of an open request may not be used again, by any client; once it is answered nothing is kept of it.
func TestOpenID(t *testing.T) {
	f, address := newServer(t)
	first, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	io.WriteString(first, readText)
	for end := time.Now().Add(5 * time.Second); f.loop.OpenRequests() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got, _ := answered(t, address, readText); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("%q", got)
	}
	if f.loop.OpenRequests() != 1 {
		t.Errorf("%d requests open", f.loop.OpenRequests())
	}
	first.Close()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		kept := len(f.open)
		f.mu.Unlock()
		if kept == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d ids kept", kept)
		}
	}
}

// newServer serves a front whose loop is never turned, so that requests wait.
func newServer(t *testing.T) (*Server, string) {
	state, err := broker.NewState(scheduler.Settings{Brokers: 1, Classes: []scheduler.Class{{Name: "read", LatencyObjective: time.Second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	loop := broker.NewLoop(state, broker.NewClock(), nil, broker.Dependencies{})
	f := NewServer(loop, testTerms, 8, 8, 1<<20, logging.ToFunc(func(line string) { t.Log(line) }))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go f.Serve(ln)
	return f, ln.Addr().String()
}

// A full front closes a connection without requests to let the next client in.
func TestFullFrontMakesRoom(t *testing.T) {
	f := NewServer(nil, RequestLimits{}, 2, 2, 1<<20, logging.ToFunc(func(line string) { t.Log(line) }))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go f.Serve(ln)
	for i := range 100 { // the table asks for the idlest while others look whether to go on
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprint(conn, pingText)
		got := make([]byte, 7)
		if _, err := io.ReadFull(conn, got); err != nil || string(got) != "+PONG\r\n" {
			t.Fatalf("client %d: %q, %v", i, got, err)
		}
	}
}

// asked is a connection that keeps its table's lock while it is asked.
type asked struct{ began, end chan struct{} }

func (a *asked) Wake()       {}
func (a *asked) Evict() bool { return true }
func (a *asked) State() (clientconn.State, time.Duration) {
	a.began <- struct{}{}
	<-a.end
	return clientconn.Busy, 0
}

// A connection must not hold its own lock while it waits for its table's: the table may be asking it.
func TestDismissedHoldsNoLock(t *testing.T) {
	f := NewServer(nil, RequestLimits{}, 0, 1, 1, logging.Discard())
	a := &asked{make(chan struct{}), make(chan struct{})}
	f.Add(a)
	f.RequestReceived(a, false)
	go f.Accept(nil) // no room: it asks, and never comes to accept
	<-a.began
	c := &client{front: f}
	go c.endIfIdle()
	for range 200 {
		time.Sleep(100 * time.Microsecond)
		if !c.mu.TryLock() {
			t.Fatal("the connection's lock is held")
		}
		c.mu.Unlock()
	}
}

// A connection that is asked to leave while it takes a command must look again once it waits for the next: nobody else
// wakes it.
func TestGuardTellsThatItRests(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	rests := make(chan int32, 8)
	g := &guard{Conn: near, attached: true}
	g.rested = func() { rests <- g.phase.Load() }
	go func() {
		for _, part := range []string{pingText[:5], pingText[5:]} {
			io.WriteString(far, part)
		}
		far.Close()
	}()
	for buffer := make([]byte, 64); ; {
		if _, err := g.Read(buffer); err != nil {
			break
		}
		if g.phase.Load() != working {
			t.Error("it takes what it read, and rests")
		}
	}
	close(rests)
	count := 0
	for phase := range rests {
		if count++; phase != resting {
			t.Errorf("phase %d", phase)
		}
	}
	if count != 2 { // before the command and behind it, not half way
		t.Errorf("it rested %d times", count)
	}
}

// Without room for a connection a request gets its refusal at once, a greeting its answer and silence its end. A body that is
// still on its way is read behind the refusal, or a reset would overtake it.
func TestTurnedAway(t *testing.T) {
	f := NewServer(nil, RequestLimits{After: 150_000}, 0, 1, 1, logging.Discard())
	command := "*5\r\n$9\r\nBLK.WRITE\r\n$16\r\n7f3a9c21e0b4d655\r\n$2\r\nid\r\n$3\r\nc=w\r\n$300000\r\n"
	for _, c := range []struct{ sent, want string }{
		{command + strings.Repeat("x", 300_000) + "\r\n", "-BUSY 150\r\n"}, {pingText, "+PONG\r\n"}, {"", ""},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			f.reject(conn)
			conn.Close()
		}()
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, c.sent); err != nil {
			t.Fatal(err)
		}
		if c.sent == "" {
			conn.(*net.TCPConn).CloseWrite()
		}
		got, err := io.ReadAll(conn)
		conn.Close()
		<-ended
		ln.Close()
		if string(got) != c.want || err != nil {
			t.Errorf("%.20q: %q, %v", c.sent, got, err)
		}
	}
}

// While too many wait for the processor a request that comes whole and alone is refused as it is read; what comes in parts, behind
// another, or is no request, goes its usual way, whole.
func TestRefusedAsItIsRead(t *testing.T) {
	request := "*2\r\n$8\r\nBLK.READ\r\n$1\r\nx\r\n"
	for _, c := range []struct {
		name    string
		parts   []string
		refused int
		passed  string
	}{
		{"one", []string{request}, 1, ""},
		{"two, apart", []string{request, request}, 2, ""},
		{"two at once", []string{request + request}, 0, request + request},
		{"half", []string{request[:9], request[9:]}, 0, request},
		{"a greeting", []string{pingText}, 0, pingText},
		{"one, and half of another", []string{request + request[:7], request[7:], request}, 1, request + request},
	} {
		near, far := net.Pipe()
		refused := 0
		g := &guard{Conn: near, attached: true, refuse: func(p []byte) bool {
			if !strings.Contains(string(p), "BLK.") {
				return false
			}
			refused++
			return true
		}}
		go func() {
			for _, part := range c.parts {
				io.WriteString(far, part)
			}
			far.Close()
		}()
		passed, err := io.ReadAll(g)
		if refused != c.refused || string(passed) != c.passed || err != nil {
			t.Errorf("%s: %d refused, %q passed, %v", c.name, refused, passed, err)
		}
	}
}

// A refusal of that kind is counted as others are, and none is given while the processor is not the bound.
func TestCrowdIsRefused(t *testing.T) {
	set := scheduler.Settings{Brokers: 1, Classes: []scheduler.Class{{Name: "w", LatencyObjective: time.Second, Deadline: time.Second}}}
	state, err := broker.NewState(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	controller := admission.New(admission.Settings{MaxOpenOverloaded: 1}, set)
	loop := broker.NewLoop(state, broker.NewClock(), nil, broker.Dependencies{Admission: controller})
	f := NewServer(loop, NewRequestLimits(set, 0), 4, 4, 1<<20, logging.Discard())
	near, far := net.Pipe()
	c := &client{front: f, conn: near, wake: make(chan struct{}, 1)}
	raw := []byte("*4\r\n$8\r\nBLK.READ\r\n$1\r\nx\r\n$1\r\ni\r\n$7\r\nc=w,t=p\r\n")
	loop.SubmitAdmitted(&broker.Request{Class: "w"}, func(broker.Response) {})
	if c.refuseCrowd(raw) {
		t.Error("refused without lag")
	}
	for !loop.Overloaded() { // admission control believes in a lag that lasts
		loop.RecordSchedulingLag(50_000)
	}
	said := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(far).ReadString('\n')
		said <- line
	}()
	if !c.refuseCrowd(raw) || <-said != "-BUSY\r\n" {
		t.Error("not refused")
	}
	if c.refuseCrowd([]byte(pingText)) {
		t.Error("a greeting was refused")
	}
	for _, figure := range loop.Metrics.Read() {
		if figure.Name == "door_refused" && figure.Value != 1 || figure.Name == "busy.w" && figure.Value != 1 {
			t.Errorf("%s is %d", figure.Name, figure.Value)
		}
	}
}
