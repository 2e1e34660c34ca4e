package middleware

import (
	"bytes"
	"errors"
	"net/http"
)

// errAnswerTooLarge is what a handler's Write returns beyond maxAnswer.
var errAnswerTooLarge = errors.New("the answer is too large")

// recorder holds a handler's answer until it is final.
type recorder struct {
	header      http.Header
	code        int
	wroteHeader bool
	body        bytes.Buffer
	tooLarge    bool
}

// Header implements http.ResponseWriter.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
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

// copyTo gives the answer to the client. A client that has gone takes no answer, and there is nothing to be done
// about it.
func (r *recorder) copyTo(w http.ResponseWriter) {
	for name, values := range r.header {
		w.Header()[name] = values
	}
	w.WriteHeader(r.code)
	_, _ = w.Write(r.body.Bytes())
}
