package daemon

import (
	"bufio"
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"junctionwharf/internal/config"
	"junctionwharf/internal/logging"
)

// around is what stands around one broker and notes what it says: discovery and two peers.
type around struct {
	*testing.T
	discovery *httptest.Server
	peers     []*net.UDPConn

	mu    sync.Mutex
	asked []string        // of discovery, in order
	told  map[string]bool // kind and volume of each message, and to whom
}

func newAround(t *testing.T, node string) *around {
	a := &around{T: t, told: map[string]bool{}}
	a.discovery = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		a.asked = append(a.asked, r.URL.String())
		a.mu.Unlock()
		if r.URL.Query().Get("index") != "" {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"seq":3,"whole":true,"hosts":[{"host":"a","dial":%q,"block":0,"health":"SERVING","share":1}]}`, node)
	}))
	t.Cleanup(a.discovery.Close)
	for range 3 { // the first is the broker's own, and free
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		a.peers = append(a.peers, conn)
	}
	a.peers[0].Close()
	for i, conn := range a.peers[1:] {
		go func() {
			buffer := make([]byte, 512)
			for {
				n, _, err := conn.ReadFromUDP(buffer)
				if err != nil {
					return
				}
				a.mu.Lock()
				a.told[fmt.Sprintf("%d bytes to %d: %x", n, i+1, buffer[:min(n, 5)])] = true // kind and volume; what follows is its demand just then
				a.mu.Unlock()
			}
		}()
	}
	return a
}

func (a *around) config() *config.Config {
	settings := strings.NewReplacer(`"maxAttempts":3`, `"maxAttempts":3,"peers":true`, `"nInstances":1`, `"nInstances":3`, `"maxUnits":8`, `"maxUnits":8,"nShards":1`).Replace(settingsText)
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"peer_listen":%q,"peers":[%q,%q,%q],"settings":%s}`, free(a.T), a.discovery.Listener.Addr(),
		a.peers[0].LocalAddr(), a.peers[0].LocalAddr(), a.peers[1].LocalAddr(), a.peers[2].LocalAddr(), settings)
	c, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		a.Fatal(err)
	}
	c.HandoverDisabled = true
	return c
}

// until waits until so many volumes were told of.
func (a *around) until(volumes int) {
	a.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		a.mu.Lock()
		n := len(a.told)
		a.mu.Unlock()
		if n >= volumes {
			return
		}
		if time.Now().After(end) {
			a.Fatalf("told %v", a.told)
		}
	}
}

// A hollow broker says to discovery and to its peers what a whole one says that gets requests of the same volumes: the same calls, and
// messages of the same kinds and lengths on the same volumes to the same keepers.
func TestHollowSaysTheSame(t *testing.T) {
	const volumes = 12
	node := listen(t)
	go serveNode(node, func(string) string { return "v" })
	whole, hollow := newAround(t, node.Addr().String()), newAround(t, node.Addr().String())
	ctx, stop := context.WithCancel(context.Background())
	var programs sync.WaitGroup
	defer programs.Wait()
	defer stop()
	c := whole.config()
	programs.Go(func() { Serve(ctx, c, logging.Discard(), nil, nil) })
	programs.Go(func() {
		if err := ServeHollow(ctx, hollow.config(), SyntheticLoad{Rate: 400, Volumes: volumes, ResponseTime: time.Millisecond, Seed: 1}, logging.Discard()); err != nil {
			t.Error(err)
		}
	})
	clients := make(chan struct{})
	go func() {
		defer close(clients)
		conn := dial(t, c.Listen)
		in := bufio.NewReader(conn)
		for n := 0; ctx.Err() == nil; n++ {
			id, list := fmt.Sprint("r", n), fmt.Sprintf("c=read,t=plan,d=6000,volume=%016x,units=1,shard=0,hosts=3", n%volumes)
			fmt.Fprintf(conn, "*4\r\n$8\r\nBLK.READ\r\n$16\r\n7f3a9c21e0b4d655\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(id), id, len(list), list)
			if line, err := in.ReadString('\n'); err != nil || line[0] != '$' {
				return
			}
			in.ReadString('\n')
		}
	}()
	kept := 0 // volumes whose keeper is another broker: the others are told to nobody
	for n := range volumes {
		h := fnv.New32a()
		fmt.Fprintf(h, "%016x", n)
		if h.Sum32()%3 != 0 {
			kept++
		}
	}
	whole.until(kept)
	hollow.until(kept)
	stop()
	<-clients
	programs.Wait()
	whole.mu.Lock()
	defer whole.mu.Unlock()
	hollow.mu.Lock()
	defer hollow.mu.Unlock()
	if a, b := slices.Sorted(maps.Keys(whole.told)), slices.Sorted(maps.Keys(hollow.told)); !slices.Equal(a, b) || len(a) < 3 {
		t.Errorf("the whole one told %v\nthe hollow one %v", a, b)
	}
	if a, b := whole.asked[:min(2, len(whole.asked))], hollow.asked[:min(2, len(hollow.asked))]; !slices.Equal(a, b) || len(a) < 2 {
		t.Errorf("the whole one asked %v, the hollow one %v", whole.asked, hollow.asked)
	}
}
