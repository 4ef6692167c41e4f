package admin

import (
	"net/http"
	"strings"
)

// authorized forwards requests that carry the operators' token and rejects all
// others.
func (h *handler) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || !h.Token.Equal(token) {
			h.Log.Warn("admin: unauthorized request", "path", r.URL.Path, "from", r.RemoteAddr)
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, wireError{Error{Code: CodeUnauthorized, Message: "the operators' token is missing or wrong"}})
			return
		}
		next.ServeHTTP(w, r)
	})
}
