package daemon

import (
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

// brokerCount is the number of brokers, including the one under test.
const brokerCount = 3

// trafficRecorder fakes discovery and the two other brokers of a fleet, and records what the broker sends to them.
type trafficRecorder struct {
	*testing.T
	discovery *httptest.Server
	peers     []*net.UDPConn

	mu       sync.Mutex
	polls    []string        // requests to discovery, in order
	messages map[string]bool // length, receiver, kind and volume of each message to a peer
}

func newTrafficRecorder(t *testing.T, node string) *trafficRecorder {
	t.Helper()
	s := &trafficRecorder{T: t, messages: map[string]bool{}}
	s.discovery = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.serveList(w, r, node)
	}))
	t.Cleanup(s.discovery.Close)
	for range brokerCount {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		s.peers = append(s.peers, conn)
	}
	_ = s.peers[0].Close() // the address of the broker under test
	for i, conn := range s.peers[1:] {
		go s.receive(i+1, conn)
	}
	return s
}

// serveList answers the first poll with one node, and never answers the long polls for changes.
func (s *trafficRecorder) serveList(w http.ResponseWriter, r *http.Request, node string) {
	s.mu.Lock()
	s.polls = append(s.polls, r.URL.String())
	s.mu.Unlock()
	if r.URL.Query().Get("index") != "" {
		<-r.Context().Done()
		return
	}
	const list = `{"seq":3,"whole":true,"hosts":[{"host":"a","dial":%q,"block":0,"health":"SERVING","share":1}]}`
	_, _ = fmt.Fprintf(w, list, node) // the broker may have ended
}

// receive records the messages to one peer. It ignores the bytes after the volume, since they depend on the sender's
// demand at that moment.
func (s *trafficRecorder) receive(peer int, conn *net.UDPConn) {
	const kindAndVolume = 5 // bytes
	buffer := make([]byte, 512)
	for {
		n, _, err := conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.messages[fmt.Sprintf("%d bytes to %d: %x", n, peer, buffer[:min(n, kindAndVolume)])] = true
		s.mu.Unlock()
	}
}

// config returns the configuration of the broker under test.
func (s *trafficRecorder) config() *config.Config {
	s.Helper()
	settings := strings.NewReplacer(
		`"maxAttempts":3`, `"maxAttempts":3,"peers":true`,
		`"nInstances":1`, fmt.Sprintf(`"nInstances":%d`, brokerCount),
		`"maxUnits":8`, `"maxUnits":8,"nShards":1`,
	).Replace(settingsText)
	var peers []string
	for _, conn := range s.peers {
		peers = append(peers, fmt.Sprintf("%q", conn.LocalAddr()))
	}
	const text = `{"name":"n1","listen":%q,"discovery":%q,"peer_listen":%s,"peers":[%s],"settings":%s}`
	c := parseConfig(s.T, fmt.Sprintf(text,
		unusedAddress(s.T), s.discovery.Listener.Addr(), peers[0], strings.Join(peers, ","), settings))
	c.HandoverDisabled = true
	return c
}

// awaitMessages waits until the broker has sent count different messages.
func (s *trafficRecorder) awaitMessages(count int) {
	s.Helper()
	await(s.T, "too few messages to peers", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.messages) >= count
	})
}

// sent returns the different messages in sorted order, and the first two polls of discovery.
func (s *trafficRecorder) sent() (messages, polls []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.messages)), slices.Clone(s.polls[:min(2, len(s.polls))])
}

// runVolumes sends requests of the given number of volumes in turn until ctx ends.
func (c *testClient) runVolumes(ctx context.Context, volumes int) {
	for n := 0; ctx.Err() == nil; n++ {
		request := testRequest{id: fmt.Sprint("r", n), volume: volumeName(n % volumes), brokers: brokerCount}
		if first, err := c.tryRequest(request); err != nil || first[0] != '$' {
			return
		}
	}
}

func volumeName(n int) string {
	return fmt.Sprintf("%016x", n)
}

// volumesOfPeers counts the volumes whose demand another broker aggregates. The demand of the other volumes is not sent
// to any peer.
func volumesOfPeers(volumes int) int {
	count := 0
	for n := range volumes {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(volumeName(n))) // a hash never fails
		if hash.Sum32()%brokerCount != 0 {
			count++
		}
	}
	return count
}

// A hollow broker must send the same to discovery and to its peers as a full broker that gets requests of the same
// volumes: the same first two polls, and messages of the same kinds and lengths on the same volumes to the same
// aggregators.
func TestHollowSendsTheSame(t *testing.T) {
	const volumes = 12
	node := startNode(t, func(string) string { return "v" })
	full, hollow := newTrafficRecorder(t, node.Addr().String()), newTrafficRecorder(t, node.Addr().String())
	ctx, stop := context.WithCancel(context.Background())
	var programs sync.WaitGroup
	defer programs.Wait()
	defer stop()
	c := full.config()
	programs.Go(func() {
		if err := Serve(ctx, c, logging.Discard(), nil, nil); err != nil {
			t.Error(err)
		}
	})
	programs.Go(func() {
		load := SyntheticLoad{Rate: 400, Volumes: volumes, ResponseTime: time.Millisecond, Seed: 1}
		if err := ServeHollow(ctx, hollow.config(), load, logging.Discard()); err != nil {
			t.Error(err)
		}
	})
	client := dialClient(t, c.Listen)
	clientEnded := make(chan struct{})
	go func() {
		defer close(clientEnded)
		client.runVolumes(ctx, volumes)
	}()
	full.awaitMessages(volumesOfPeers(volumes))
	hollow.awaitMessages(volumesOfPeers(volumes))
	stop()
	<-clientEnded
	programs.Wait()
	fullMessages, fullPolls := full.sent()
	hollowMessages, hollowPolls := hollow.sent()
	if !slices.Equal(fullMessages, hollowMessages) || len(fullMessages) < 3 {
		t.Errorf("messages of the full broker: %v\nmessages of the hollow broker: %v\nwant the same, at least 3",
			fullMessages, hollowMessages)
	}
	if !slices.Equal(fullPolls, hollowPolls) || len(fullPolls) < 2 {
		t.Errorf("polls of the full broker: %v, polls of the hollow broker: %v, want the same two",
			fullPolls, hollowPolls)
	}
}
