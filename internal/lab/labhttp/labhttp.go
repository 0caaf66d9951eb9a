// Package labhttp holds the HTTP helpers that the simulators of the lab share: JSON
// responses, control endpoints and listeners.
package labhttp

import (
	"encoding/json"
	"net"
	"net/http"
)

// maxBodyBytes bounds the body of a request that ReadJSON decodes.
const maxBodyBytes = 4 << 20

// WriteJSON writes a response with the status and value encoded as JSON. It writes status
// 500 instead if value can't be encoded.
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

// WriteError writes a response with the status and the text of err.
func WriteError(w http.ResponseWriter, status int, err error) {
	http.Error(w, err.Error(), status)
}

// ReadJSON decodes the JSON body of r into a T. It returns an error if the body has unknown
// fields or is larger than 4 MiB.
func ReadJSON[T any](w http.ResponseWriter, r *http.Request) (T, error) {
	var value T
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(&value)
	return value, err
}

// PutHandler returns a handler that decodes the JSON body, passes it to set and responds with
// status 204, or with 400 if the body can't be decoded.
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

// ListenAddress returns addr. If addr is empty, it returns the loopback address with port 0,
// for which the system chooses a free port.
func ListenAddress(addr string) string {
	if addr == "" {
		return "127.0.0.1:0"
	}
	return addr
}

// Ready is the line of JSON that a simulator's process prints once it serves.
type Ready struct {
	Role    string `json:"role"`    // the subcommand of bramley-lab, e.g. "target"
	Listen  string `json:"listen"`  // IP and port where it serves
	Control string `json:"control"` // IP and port of its control endpoint
}

// Listen opens a simulator's two TCP listeners: the one where it serves and that of its control
// endpoint. An empty address stands for a free port on the loopback; see ListenAddress.
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
