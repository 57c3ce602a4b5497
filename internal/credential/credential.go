// Package credential knows where callers put their keys in HTTP requests.
package credential

import (
	"net/http"
	"strings"
)

// headerAuthorization carries a key as a bearer token.
const headerAuthorization = "Authorization"

const bearerPrefix = "Bearer "

// Headers are the headers that may hold a caller's key, in canonical form. No
// backend server gets them.
var Headers = []string{headerAuthorization, "X-Api-Key", "Api-Key", "Proxy-Authorization"}

// From returns the key in the headers, or "".
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
