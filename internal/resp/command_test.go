package resp

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"junctionwharf/broker"
)

// A client's bytes may arrive in pieces of any size. The sizes must not change which commands are read.
func TestCommandsMayBeCutAnywhere(t *testing.T) {
	for seed := range uint64(200) {
		all, err := readCommands([]byte(readText+pingText+writeText), seed)
		if !errors.Is(err, io.EOF) || len(all) != 3 || string(all[2].Raw) != writeText {
			t.Fatalf("seed %d: read %d commands, error %v, want 3 commands and EOF", seed, len(all), err)
		}
	}
}

// A client sends huge or invalid counts and lengths, for which redcon's reader might allocate or index without bound.
// The input guard must report a protocol error.
func TestUnboundedLengthsAreStopped(t *testing.T) {
	for _, text := range []string{
		"*999999999\r\n", "*1\r\n$9223372036854775800\r\n", "*0\r\n", "*-1\r\n", "PING\r\n", "*1\r\n$\r\n",
		"*2\r\n$1\r\na\r\n:1\r\n", "*1\r\n$70000\r\n",
	} {
		if all, err := readCommands([]byte(readText+text), 1); !errors.Is(err, errProtocol) || len(all) > 1 {
			t.Errorf("%q: read %d commands, error %v, want at most one and a protocol error", text, len(all), err)
		}
	}
}

func FuzzCommands(f *testing.F) {
	for _, text := range []string{readText, writeText, pingText, "*1\r\n$-1\r\n", "*3\r\n$1\r\na", "\x00\xff*"} {
		f.Add([]byte(text), uint64(1))
	}
	f.Fuzz(func(t *testing.T, text []byte, seed uint64) {
		all, _ := readCommands(text, seed)
		for _, cmd := range all {
			request, err := parseCommand(cmd.Raw, cmd.Args)
			if err != nil {
				continue
			}
			forwardedOptions(t, request, cmd.Args, broker.Second)
		}
	})
}

// forwardedOptions checks that a command for a node differs from the client's command only in its options, and returns
// the options for the node.
func forwardedOptions(t *testing.T, request *broker.Request, args [][]byte, timeout broker.Micros) string {
	t.Helper()
	cmd := request.Message.(*command)
	before := string(cmd.raw)
	text := bytes.Join(cmd.forward(timeout), nil)
	if string(cmd.raw) != before {
		t.Fatal("forward changed the client's bytes")
	}
	all, err := readCommands(text, 1)
	if !errors.Is(err, io.EOF) || len(all) != 1 || len(all[0].Args) != len(args) {
		t.Fatalf("%q: read %d commands, error %v, want one with unchanged argument count", text, len(all), err)
	}
	for i, arg := range all[0].Args {
		if i != argOptions && !bytes.Equal(arg, args[i]) {
			t.Errorf("argument %d is %q, want %q", i, arg, args[i])
		}
	}
	return string(all[0].Args[argOptions])
}

// In the command for a node the client's timeout is replaced by the attempt's timeout, which is at least one
// millisecond.
func TestForwardChangesTheTimeoutOnly(t *testing.T) {
	for _, test := range []struct {
		timeout broker.Micros
		want    string
	}{
		{479_999, "d=479"},
		{1_234_567, "d=1234"},
		{99_000, "d=99"},
		{-5, "d=1"},
	} {
		cmd := readOne(t, writeText)
		request, err := parseCommand(cmd.Raw, cmd.Args)
		if err != nil {
			t.Fatal(err)
		}
		want := strings.Replace(testOptions+",k=7", "d=480", test.want, 1)
		if options := forwardedOptions(t, request, cmd.Args, test.timeout); options != want {
			t.Errorf("timeout of %d us: options are %q, want %q", test.timeout, options, want)
		}
	}
}

func TestParseCommand(t *testing.T) {
	cmd := readOne(t, writeText)
	got, err := parseCommand(cmd.Raw, cmd.Args)
	if err != nil {
		t.Fatal(err)
	}
	want := broker.Request{
		Class:   "read",
		Plan:    "gold",
		Key:     testKey,
		Volume:  "00000003b4d60021",
		Timeout: 480_000,
		Units:   2,
		Shard:   5,
		Brokers: 3,
		Write:   true,
		Message: got.Message,
	}
	if *got != want {
		t.Errorf("got %+v, want %+v", *got, want)
	}
}

func TestParseCommandRejectsMalformed(t *testing.T) {
	for _, words := range [][]string{
		{"GET", "a"},
		{commandRead, testKey, "id", "c=read"},
		{commandRead, "xyz", "id", testOptions},
		{commandRead, testKey, "id", testOptions, "body"},
		{commandRead, testKey, "", testOptions},
		{commandRead, testKey, "id", "c=read,d=5,d=6"},
		{commandRead, testKey, "id", "c=read,d=soon"},
		{commandRead, testKey, "id", "c=read,units=1"},
		{commandRead, testKey, "id", "c=read,d=5,shard"},
		{commandRead, testKey, "id", testOptions + strings.Repeat(",a=b", maxOptions)},
	} {
		cmd := readOne(t, bulk(words...))
		if _, err := parseCommand(cmd.Raw, cmd.Args); !errors.Is(err, errMalformed) {
			t.Errorf("%q: got error %v, want errMalformed", words, err)
		}
	}
}

// A request with a missing or invalid option must be rejected with errMalformed, so that it does not reach the loop.
func TestRequestLimits(t *testing.T) {
	check := func(options string) error {
		cmd := readOne(t, bulk(commandRead, testKey, "id", options))
		request, err := parseCommand(cmd.Raw, cmd.Args)
		if err != nil {
			return err
		}
		return testLimits.check(request)
	}
	if err := check(testOptions); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ old, replacement string }{
		{"c=read", "c=reads"},
		{"t=gold", "t=lead"},
		{"c=read,", ""},
		{"d=480", "d=0"},
		{"d=480", "d=-1"},
		{"d=480", "d=60001"},
		{"units=2", "units=9"},
		{"units=2", "units=0"},
		{"units=2", "units=NaN"},
		{"shard=5", "shard=6"},
		{"shard=5", "shard=-2"},
		{"hosts=3", "hosts=4"},
		{"hosts=3", "hosts=0"},
		{"volume=00000003b4d60021", "volume=x"},
	} {
		if err := check(option(test.old, test.replacement)); !errors.Is(err, errMalformed) {
			t.Errorf("%s: got error %v, want errMalformed", test.replacement, err)
		}
	}
}

func TestEncodeResponse(t *testing.T) {
	for want, response := range map[string]broker.Response{
		"$2\r\nhi\r\n":    {Verdict: broker.Served, Value: []byte("hi")},
		"-BUSY 151\r\n":   {Verdict: broker.Rejected, RetryAfter: 150_001},
		"-BUSY\r\n":       {Verdict: broker.Rejected},
		"-ERR failed\r\n": {Verdict: broker.Failed},
	} {
		if text := bytes.Join(encodeResponse(response), nil); string(text) != want {
			t.Errorf("encoded %q, want %q", text, want)
		}
	}
}
