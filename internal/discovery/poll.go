package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxListBytes limits the size of an answer. With a larger value, a faulty service uses more memory of the process.
// With a smaller value, the list of a large deployment is truncated and cannot be parsed.
const maxListBytes = 4 << 20

// errBadStatus reports an answer with an HTTP status other than 200.
var errBadStatus = errors.New("unexpected HTTP status")

// pollRequest specifies a poll. The service answers a poll for the full list immediately. It holds a poll for the
// changes since a version until there are changes.
type pollRequest struct {
	version uint64
	full    bool
}

// poll sends one request to the service and parses its answer.
func (w *Watcher) poll(ctx context.Context, poll pollRequest) (*EndpointList, error) {
	url, timeout := w.pollURL(poll)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body was only read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w %d", errBadStatus, response.StatusCode)
	}
	return ParseList(body)
}

// pollURL returns the URL of a poll and the timeout for its answer.
func (w *Watcher) pollURL(poll pollRequest) (url string, timeout time.Duration) {
	timeouts := w.timeouts.Load()
	url = "http://" + w.address + "/registry/instances"
	if !poll.full {
		url += fmt.Sprintf("?index=%d&wait=%d", poll.version, timeouts.hold.Milliseconds())
	}
	return url, timeouts.lost(poll)
}
