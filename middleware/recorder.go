package middleware

import (
	"bytes"
	"errors"
	"net/http"
)

// errAnswerTooLarge is the error of a handler's Write that exceeds maxAnswer.
var errAnswerTooLarge = errors.New("response body exceeds the maximum size")

// recorder records a handler's answer until it is final.
type recorder struct {
	header      http.Header
	code        int
	wroteHeader bool
	body        bytes.Buffer
	tooLarge    bool
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter. It ignores informational codes (1xx).
func (r *recorder) WriteHeader(code int) {
	if !r.wroteHeader && code >= http.StatusOK {
		r.code = code
		r.wroteHeader = true
	}
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	if r.body.Len()+len(p) > maxAnswer {
		r.tooLarge = true
		return 0, errAnswerTooLarge
	}
	return r.body.Write(p)
}

// copyTo writes the recorded answer to the client. A write error is ignored, because it means that the client has
// disconnected.
func (r *recorder) copyTo(w http.ResponseWriter) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	w.WriteHeader(r.code)
	_, _ = w.Write(r.body.Bytes())
}
