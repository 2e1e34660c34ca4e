package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"junctionwharf/internal/config"
)

const settingsText = `{"bounds":{"maxAttempts":3},"nInstances":1,"ordinal":0,"specifics":{"usualUnits":2,"maxUnits":8},
 "classes":[{"name":"read","aim":5000000,"deadline":6000000,"effect":"safe","importance":1}],
 "serviceLevels":[{"name":"plan","nominal":100,"floorRate":100,"parts":1,"price":1}],"invariants":{"answerSlack":8000,"drainGrace":2000000}}`

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// free returns an address where nothing listens.
func free(t *testing.T) string {
	ln := listen(t)
	ln.Close()
	return ln.Addr().String()
}

// TestServe starts the whole program, stops it with a request under way, and wants that request's answer.
func TestServe(t *testing.T) {
	node, taken, release := listen(t), make(chan string, 1), make(chan struct{})
	go func() {
		conn, err := node.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if cmd, err := redcon.NewReader(conn).ReadCommand(); err == nil {
			taken <- string(cmd.Args[2])
			<-release
			io.WriteString(conn, "*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
		}
	}()
	seen := false
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if seen {
			<-r.Context().Done()
			return
		}
		seen = true
		fmt.Fprintf(w, `{"seq":1,"whole":true,"hosts":[{"host":"a","dial":%q,"block":0,"health":"SERVING","share":1}]}`, node.Addr())
	}))
	defer discovery.Close()
	address, files := free(t), free(t)
	carbon, figures := listen(t), make(chan string, 1)
	go func() {
		for {
			conn, err := carbon.Accept()
			if err != nil {
				return
			}
			text, _ := io.ReadAll(conn)
			if strings.Contains(string(text), "wharf.n1.taken 1 ") {
				figures <- string(text)
				return
			}
		}
	}()
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"settings":%s}`, address, discovery.Listener.Addr(), settingsText)
	c, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	c.Site.SFTP.Listen, c.Site.SFTP.Connections = files, 4
	c.Site.Graphite = config.Receiver{Address: carbon.Addr().String(), Prefix: "wharf", IntervalS: 1}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, c) }()

	var conn net.Conn
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if conn, err = net.Dial("tcp", address); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(conn)
	io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
	if line, err := in.ReadString('\n'); line != "+PONG\r\n" {
		t.Fatal(line, err)
	}
	list := "c=read,t=plan,d=6000,volume=00000003b4d60021,units=2,shard=0,hosts=1"
	fmt.Fprintf(conn, "*4\r\n$8\r\nBLK.READ\r\n$16\r\n7f3a9c21e0b4d655\r\n$2\r\nid\r\n$%d\r\n%s\r\n", len(list), list)
	if id := <-taken; id != "id" {
		t.Errorf("the node got %q", id)
	}
	fileConn, err := net.Dial("tcp", files)
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(fileConn, "\x00\x00\x00\x05\x01\x00\x00\x00\x03")
	version := make([]byte, 9)
	if _, err := io.ReadFull(fileConn, version); err != nil || string(version) != "\x00\x00\x00\x05\x02\x00\x00\x00\x03" {
		t.Errorf("%q, %v", version, err)
	}
	if text := <-figures; !strings.Contains(text, "wharf.n1.open 1 ") || !strings.Contains(text, "wharf.n1.attempts 1 ") {
		t.Error(text)
	}
	stop()
	close(release)
	got, err := io.ReadAll(in)
	if err != nil || string(got) != "$5\r\nvalue\r\n" {
		t.Errorf("%q, %v", got, err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", address); err == nil {
		t.Error("it still listens")
	}
}

// The file in deploy fits settings like the platform's.
func TestSiteFile(t *testing.T) {
	text := strings.NewReplacer(`"name":"read"`, `"name":"lesson-read"`, `"name":"plan"`, `"name":"padrao"`, `"importance":1}]`,
		`"importance":1},{"name":"record-write","aim":200000,"deadline":1200000,"effect":"unsafe"},{"name":"bulk-export","aim":750000,"deadline":2500000,"effect":"safe"}]`).Replace(settingsText)
	set, err := config.ParseSettings([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	site, err := config.LoadSite("../../deploy/site.toml", set.Logic)
	if err != nil || site.SFTP.Listen == "" || site.Graphite.Address != "" || site.Collectd.Address != "" {
		t.Errorf("%+v, %v", site, err)
	}
}
