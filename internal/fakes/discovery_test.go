package fakes

import (
	"io"
	"net/http"
	"testing"
)

// Checks that the JSON keys of the list are those of the protocol. Brokers decode this text, and would have no nodes if
// a key changed along with the name of its field.
func TestDiscoveryAnswers(t *testing.T) {
	d, err := NewDiscovery("127.0.0.1:0", Endpoint{
		Name: "n1", Address: "127.0.0.1:6379", Zone: "a", Class: "m1", Shard: 2,
		Health: "SERVING", Share: 0.5, StartedMS: 7,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()

	const first = `{"host":"n1","dial":"127.0.0.1:6379","site":"a","class":"m1","block":2,` +
		`"health":"SERVING","share":0.5,"born_ms":7}`
	const second = `{"host":"n2","dial":"","site":"","class":"","block":0,"health":"DRAINING","share":0,"born_ms":0}`
	expect := func(query, want string) {
		t.Helper()
		if got := get(t, "http://"+d.Address()+"/registry/instances"+query); got != want {
			t.Errorf("query %q: got %s, want %s", query, got, want)
		}
	}
	expect("", `{"seq":1,"whole":true,"hosts":[`+first+`]}`)
	expect("?index=1&wait=1", `{"seq":1,"whole":false,"hosts":[]}`)
	d.Change(Endpoint{Name: "n2", Health: "DRAINING"})
	expect("", `{"seq":2,"whole":true,"hosts":[`+first+`,`+second+`]}`)
	expect("?index=1&wait=60000", `{"seq":2,"whole":false,"hosts":[`+second+`]}`)
	d.Change(Endpoint{Name: "n1", Health: "DELETED"})
	expect("", `{"seq":3,"whole":true,"hosts":[`+second+`]}`)
}

func get(t *testing.T, url string) string {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}
