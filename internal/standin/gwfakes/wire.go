package gwfakes

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// adminBodyBytes bounds the body of control and admin messages: a grant of 15,000 ranges is about 1 MB.
const adminBodyBytes = 4 << 20

// refusal is the body of every refused call.
type refusal struct {
	Error  string `json:"error"`
	Detail string `json:"detail,omitempty"`
}

// writeJSON answers with a declared length, so that a truncated answer is recognised as such.
func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func refuse(w http.ResponseWriter, status int, code, detail string) {
	writeJSON(w, status, refusal{Error: code, Detail: detail})
}

// readJSON reads the body of a call into v. It answers 400 and returns false when it cannot.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(v); err != nil {
		refuse(w, http.StatusBadRequest, "bad-request", err.Error())
		return false
	}
	return true
}

// loseAnswer closes the connection without an answer.
func loseAnswer() {
	panic(http.ErrAbortHandler)
}

// drainBody reads the rest of a request's body. Before that, net/http does not notice that the caller has gone,
// and a handler that waits for the end of the request's context would wait for ever.
func drainBody(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
}

// admin answers an admin call that sets something: the change is made before the answer.
func admin[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		if r.ContentLength != 0 && !readJSON(w, r, adminBodyBytes, &v) {
			return
		}
		set(v)
		writeJSON(w, http.StatusOK, struct{}{})
	}
}
