// Package labhttp holds what the stand-ins share of HTTP: JSON answers, control
// endpoints and listeners.
package labhttp

import (
	"encoding/json"
	"net"
	"net/http"
)

// maxBodyBytes bounds the body of a control request.
const maxBodyBytes = 4 << 20

// WriteJSON answers with value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		WriteError(w, http.StatusInternalServerError, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body)
}

// WriteError answers with err as text.
func WriteError(w http.ResponseWriter, status int, err error) {
	http.Error(w, err.Error(), status)
}

// ReadJSON decodes the body of r, without unknown fields, into a T.
func ReadJSON[T any](w http.ResponseWriter, r *http.Request) (T, error) {
	var value T
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(&value)
	return value, err
}

// PutHandler returns a handler that passes the decoded body to set.
func PutHandler[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := ReadJSON[T](w, r)
		if err != nil {
			WriteError(w, http.StatusBadRequest, err)
			return
		}
		set(value)
		w.WriteHeader(http.StatusNoContent)
	}
}

// ListenAddress returns addr, or a free port on the loopback if addr is empty.
func ListenAddress(addr string) string {
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
	if serving, err = net.Listen("tcp", ListenAddress(serve)); err != nil {
		return nil, nil, err
	}
	if controlling, err = net.Listen("tcp", ListenAddress(control)); err != nil {
		serving.Close()
		return nil, nil, err
	}
	return serving, controlling, nil
}
