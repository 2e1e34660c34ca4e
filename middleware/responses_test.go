package middleware

import (
	"net/http/httptest"
	"testing"

	"junctionwharf/broker"
)

// HTTP clients depend on the status codes, the texts and the Retry-After of these answers.
func TestResponseTexts(t *testing.T) {
	for _, c := range []struct {
		name       string
		response   broker.Response
		late       bool
		code       int
		text       string
		retryAfter string
	}{
		{
			name:       "rejected without advice",
			response:   broker.Response{Verdict: broker.Rejected},
			code:       503,
			text:       "busy\n",
			retryAfter: "1",
		},
		{
			name:       "rejected with advice, rounded up",
			response:   broker.Response{Verdict: broker.Rejected, RetryAfter: 2*broker.Second + 1},
			late:       true,
			code:       503,
			text:       "busy\n",
			retryAfter: "3",
		},
		{
			name:     "failed before the deadline",
			response: broker.Response{Verdict: broker.Failed},
			code:     502,
			text:     "failed: it may or may not have run\n",
		},
		{
			name:     "failed after the deadline",
			response: broker.Response{Verdict: broker.Failed},
			late:     true,
			code:     504,
			text:     "no answer in time\n",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			writeResponse(w, c.response, c.late)
			if w.Code != c.code || w.Body.String() != c.text {
				t.Errorf("status %d with body %q, want %d with %q", w.Code, w.Body, c.code, c.text)
			}
			if got := w.Header().Get("Retry-After"); got != c.retryAfter {
				t.Errorf("Retry-After %q, want %q", got, c.retryAfter)
			}
		})
	}
}
