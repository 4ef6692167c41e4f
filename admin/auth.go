package admin

import (
	"net/http"
	"strings"
)

// authorized passes requests on that carry the operators' token.
func (h *handler) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || !h.Token.Equal(token) {
			h.Log.Warn("admin: request without the operators' token", "path", r.URL.Path, "from", r.RemoteAddr)
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, wireFailure{Error{Code: CodeUnauthorized, Message: "the operators' token is missing or wrong"}})
			return
		}
		next.ServeHTTP(w, r)
	})
}
