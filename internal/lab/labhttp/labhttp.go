// Package labhttp holds what the stand-ins share of HTTP: JSON answers, control
// endpoints and listeners.
package labhttp

import (
	"encoding/json"
	"net"
	"net/http"
)

// maxBody bounds the body of a control request.
const maxBody = 4 << 20

// Write answers with value as JSON.
func Write(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		Fail(w, http.StatusInternalServerError, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body)
}

// Fail answers with err as text.
func Fail(w http.ResponseWriter, status int, err error) {
	http.Error(w, err.Error(), status)
}

// Read decodes the body of r, without unknown fields, into a T.
func Read[T any](w http.ResponseWriter, r *http.Request) (T, error) {
	var value T
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	err := dec.Decode(&value)
	return value, err
}

// Setter returns a handler that passes the decoded body to set.
func Setter[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := Read[T](w, r)
		if err != nil {
			Fail(w, http.StatusBadRequest, err)
			return
		}
		set(value)
		w.WriteHeader(http.StatusNoContent)
	}
}

// Address returns addr, or a free port on the loopback if addr is empty.
func Address(addr string) string {
	if addr == "" {
		return "127.0.0.1:0"
	}
	return addr
}

// Ready is the line that a stand-in prints once it serves.
type Ready struct {
	Role    string `json:"role"`
	Listen  string `json:"listen"`
	Control string `json:"control"`
}

// Listen opens a stand-in's two listeners; see Address for what may be left out.
func Listen(serve, control string) (serving, controlling net.Listener, err error) {
	if serving, err = net.Listen("tcp", Address(serve)); err != nil {
		return nil, nil, err
	}
	if controlling, err = net.Listen("tcp", Address(control)); err != nil {
		serving.Close()
		return nil, nil, err
	}
	return serving, controlling, nil
}
