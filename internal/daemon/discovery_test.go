package daemon

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"
	"time"
)

// startSlowDiscovery starts a proxy that passes on the answers of discovery later, and returns its address.
func startSlowDiscovery(t *testing.T, address string, delay time.Duration) string {
	t.Helper()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	proxy.ModifyResponse = func(response *http.Response) error {
		select {
		case <-time.After(delay):
		case <-response.Request.Context().Done():
		}
		return nil
	}
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) {} // the broker has ended its poll
	server := httptest.NewServer(proxy)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// A discovery service that all brokers poll answers each poll 1.5 s late. The broker waited for no answer that long, so
// it never had a list, nor heard of a node that drains. It must serve a request, and know of the drain in time.
func TestSlowDiscoveryIsFollowed(t *testing.T) {
	const delay = 1500 * time.Millisecond
	t.Setenv("TMPDIR", t.TempDir())
	nodes := [2]net.Listener{}
	for i := range nodes {
		nodes[i] = startNode(t, func(string) string { return string(rune('a' + i)) })
	}
	discovery := startDiscovery(t, readyHost("a", nodes[0]))
	address := unusedAddress(t)
	settings := strings.Replace(settingsText, `"bounds":`, `"discovery":"subscribe","bounds":`, 1)
	broker := startSimpleBroker(newConfig(t, address, startSlowDiscovery(t, discovery.Address(), delay), settings))
	client := dialClient(t, address)
	if got := client.ask(t, testRequest{id: "first", units: 2}); got != "a" {
		t.Fatalf("the request was answered with %q, want a", got)
	}
	moved := time.Now()
	gone, successor := readyHost("a", nodes[0]), readyHost("b", nodes[1])
	gone.Health = "DRAINING"
	discovery.Change(gone, successor)
	for got := ""; got != "b"; {
		got = client.ask(t, testRequest{id: "id", units: 2})
		if late := time.Since(moved); late > 8*time.Second {
			t.Fatalf("%v after the drain a request was answered with %q, want b", late, got)
		}
	}
	broker.stop()
	broker.waitEnd(t)
}
