// Package wire contains helpers for the stand-ins' HTTP handlers: reading and
// writing JSON bodies, and detecting callers' keys.
package wire

import (
	"encoding/json"
	"net/http"
	"strings"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 64 << 20

// keyPrefix is the prefix of every caller's key.
const keyPrefix = "hw_"

// WriteJSON responds with value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes the request body into value. On failure it responds with
// status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// CarriesKey reports whether a request carries credentials, or a caller's key in
// a header or its URI.
func CarriesKey(r *http.Request) bool {
	if r.Header.Get("Authorization") != "" || r.Header.Get("Api-Key") != "" || r.Header.Get("X-Api-Key") != "" {
		return true
	}
	if strings.Contains(r.URL.RequestURI(), keyPrefix) {
		return true
	}
	for _, values := range r.Header {
		for _, value := range values {
			if strings.Contains(value, keyPrefix) {
				return true
			}
		}
	}
	return false
}
