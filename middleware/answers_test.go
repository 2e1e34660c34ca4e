package middleware

import (
	"net/http/httptest"
	"testing"

	"junctionwharf/broker"
)

// Clients of an HTTP service see these answers: their codes, texts and Retry-After stay.
func TestAnswerTexts(t *testing.T) {
	for _, c := range []struct {
		name  string
		final broker.Response
		late  bool
		code  int
		text  string
		after string
	}{
		{"refused without advice", broker.Response{Verdict: broker.Rejected}, false, 503, "busy\n", "1"},
		{"refused, advice is rounded up", broker.Response{Verdict: broker.Rejected, RetryAfter: 2*broker.Second + 1}, true, 503, "busy\n", "3"},
		{"failed in time", broker.Response{Verdict: broker.Failed}, false, 502, "failed: it may or may not have run\n", ""},
		{"failed late", broker.Response{Verdict: broker.Failed}, true, 504, "no answer in time\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			answer(w, c.final, c.late)
			if w.Code != c.code || w.Body.String() != c.text || w.Header().Get("Retry-After") != c.after {
				t.Errorf("%d %q, Retry-After %q", w.Code, w.Body, w.Header().Get("Retry-After"))
			}
		})
	}
}
