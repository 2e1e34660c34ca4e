package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxListBytes bounds an answer. Higher, a faulty service takes more of the process's memory; lower, the list of a
// large deployment is cut and not understood.
const maxListBytes = 4 << 20

// errBadStatus is of an answer with another HTTP status than 200.
var errBadStatus = errors.New("status")

// pollRequest is what a poll asks for: the full list at once, or changes since a version once there are some.
type pollRequest struct {
	version uint64
	full    bool
}

// poll asks the service once.
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
	defer func() { _ = response.Body.Close() }() // it was only read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w %d", errBadStatus, response.StatusCode)
	}
	return ParseList(body)
}

// pollURL is the address of a poll, and the time for its answer.
func (w *Watcher) pollURL(poll pollRequest) (url string, timeout time.Duration) {
	timeouts := w.timeouts.Load()
	url = "http://" + w.address + "/registry/instances"
	if poll.full {
		return url, timeouts.answer
	}
	url += fmt.Sprintf("?index=%d&wait=%d", poll.version, timeouts.hold.Milliseconds())
	return url, timeouts.answer + timeouts.hold
}
