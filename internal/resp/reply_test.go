package resp

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"junctionwharf/broker"
)

// replyCase is a node's reply and the expected result of reading it.
type replyCase struct {
	text      string
	reply     broker.Reply
	value     string
	rateUsed  int
	elsewhere float64
	inFlight  float64
	malformed bool
}

// noInFlight is the in-flight figure of a reply without a load report.
const noInFlight = -1

var replyCases = []replyCase{
	{
		text:  "*3\r\n$2\r\nhi\r\n$14\r\nused=37,cost=4\r\n$10\r\ninflight=7\r\n",
		reply: broker.ReplyOK, value: "hi", rateUsed: 38, elsewhere: 4, inFlight: 7,
	},
	{text: "*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n", reply: broker.ReplyOK, inFlight: noInFlight},
	{text: "*1\r\n$-1\r\n", reply: broker.ReplyError, inFlight: noInFlight},
	{text: "-BUSY\r\n", reply: broker.ReplyRejected, inFlight: noInFlight},
	{text: "-BUSY used=9 busy_reqs=3\r\n", reply: broker.ReplyRejected, rateUsed: 10, inFlight: 3},
	{
		text:  "-ERR failed used=1,cost=2 inflight=5\r\n",
		reply: broker.ReplyError, rateUsed: 2, elsewhere: 2, inFlight: 5,
	},
	{text: "-SYNTAX\r\n", reply: broker.ReplyError, inFlight: noInFlight},
	// An earlier version read this reply as an empty value and sent the value to a client.
	{text: "+noise that happens to begin like a status\r\n", malformed: true},
	{text: "*99\r\n", malformed: true},
	{text: "$2\r\nhi\r\n", malformed: true},
	{
		text:  "*1\r\n$258436\r\n" + strings.Repeat("x", 258436) + "\r\n",
		reply: broker.ReplyOK, value: strings.Repeat("x", 258436), inFlight: noInFlight,
	},
	{text: "*1\r\n$4194305\r\n" + strings.Repeat("x", 4194305) + "\r\n", malformed: true},
	{text: "*1\r\n$3000000000\r\n", malformed: true},
	{text: "*1\r\n$2\r\nhi!!", malformed: true},
	{text: "-" + strings.Repeat("x", 5000) + "\r\n", malformed: true},
}

// readWholeReply reads a complete reply. A long value is streamed over a client's connection.
func readWholeReply(reader *bufio.Reader) (broker.Result, error) {
	result, rest, err := readReply(reader, nil)
	if err == nil && rest.streamed > 0 {
		near, far := net.Pipe()
		received := make(chan []byte)
		go func() {
			all, _ := io.ReadAll(far)
			received <- all
		}()
		err = newStream(rest.streamed, reader, func(time.Duration) {}).passTo(near)
		_ = near.Close()
		result.Value = bytes.TrimSuffix(<-received, []byte(lineEnd))
	}
	if err == nil {
		err = readTrailer(reader, rest.parts, &result)
	}
	return result, err
}

func TestReadReply(t *testing.T) {
	for _, test := range replyCases {
		result, err := readWholeReply(bufio.NewReader(iotest.OneByteReader(strings.NewReader(test.text))))
		if (err != nil) != test.malformed {
			t.Errorf("%.40q: got error %v, want an error: %v", test.text, err, test.malformed)
		}
		if err != nil {
			continue
		}
		value, _ := result.Value.([]byte)
		got := replyCase{
			text:      test.text,
			reply:     result.Reply,
			value:     string(value),
			rateUsed:  result.RateUsed,
			elsewhere: result.ServedElsewhere,
			inFlight:  result.Load.InFlight,
		}
		if got != test {
			t.Errorf("%.40q: got result %+v", test.text, result)
		}
	}
}

func FuzzReply(f *testing.F) {
	for _, test := range replyCases {
		f.Add([]byte(test.text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		result, err := readWholeReply(bufio.NewReader(bytes.NewReader(text)))
		if value, _ := result.Value.([]byte); err == nil && len(value) > maxNodeValueBytes {
			t.Errorf("read a value of %d bytes, above the limit", len(value))
		}
	})
}
