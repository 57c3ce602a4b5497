// Package credential extracts callers' keys from HTTP headers.
package credential

import (
	"net/http"
	"strings"
)

// headerAuthorization is the header that holds a key as a bearer token.
const headerAuthorization = "Authorization"

const bearerPrefix = "Bearer "

// Headers lists the headers that may hold a caller's key, in canonical form. They
// are not sent to backend servers.
var Headers = []string{headerAuthorization, "X-Api-Key", "Api-Key", "Proxy-Authorization"}

// From returns the caller's key from the headers, or "" if there is none.
func From(header http.Header) string {
	if bearer, ok := strings.CutPrefix(header.Get(headerAuthorization), bearerPrefix); ok {
		return strings.TrimSpace(bearer)
	}
	for _, name := range Headers[1:] {
		if value := header.Get(name); value != "" {
			return value
		}
	}
	return ""
}
