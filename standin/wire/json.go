// Package wire holds what the stand-ins' HTTP handlers share: JSON bodies, the
// bounds on them, and the check for callers' keys.
package wire

import (
	"encoding/json"
	"net/http"
	"strings"
)

// MaxBodyBytes bounds a request's body.
const MaxBodyBytes = 64 << 20

// keyPrefix starts each caller's key.
const keyPrefix = "hw_"

// WriteJSON answers with value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller has gone if this fails.
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes the request's body into value. If it can't, it answers 400
// and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// CarriesKey reports whether a request carries credentials or a caller's key in
// a header or in its address.
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
