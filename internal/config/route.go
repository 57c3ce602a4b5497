package config

import "strings"

// The generation paths, which lead to model engines.
const (
	PathChatCompletions = "/v1/chat/completions"
	PathCompletions     = "/v1/completions"
)

// wildcard is the suffix of a path that matches all paths below it.
const wildcard = "/*"

// reservedPaths are served by the router itself, with all paths below them.
var reservedPaths = []string{"/v1", "/healthz", "/readyz", "/metrics"}

// IsGenerationPath reports whether path leads to model engines.
func IsGenerationPath(path string) bool {
	return path == PathChatCompletions || path == PathCompletions
}

// Matches reports whether the route matches a request with the given method and
// path.
func (r *Route) Matches(method, path string) bool {
	return (r.Method == "" || r.Method == method) && pathMatches(r.Path, path)
}

// ServicePath returns the path that is sent to the service.
func (r *Route) ServicePath(path string) string {
	rest := strings.TrimPrefix(path, r.StripPrefix)
	if strings.HasPrefix(rest, "/") {
		return rest
	}
	return "/" + rest
}

func pathMatches(pattern, path string) bool {
	base, found := strings.CutSuffix(pattern, wildcard)
	if !found {
		return pattern == path
	}
	return strings.HasPrefix(path, base+"/")
}

// overlaps reports whether some request can match both routes.
func (r *Route) overlaps(other *Route) bool {
	if r.Path == "" || other.Path == "" {
		return false // already reported
	}
	if r.Method != "" && other.Method != "" && r.Method != other.Method {
		return false
	}
	return pathMatches(r.Path, other.Path) || pathMatches(other.Path, r.Path)
}

// isReserved reports whether pattern can match a path that the router serves itself.
func isReserved(pattern string) bool {
	base := strings.TrimSuffix(pattern, wildcard)
	for _, reserved := range reservedPaths {
		if base == "" || base == reserved || strings.HasPrefix(base, reserved+"/") {
			return true
		}
	}
	return false
}

// isPathPrefix reports whether prefix can be stripped from every path that pattern
// matches.
func isPathPrefix(pattern, prefix string) bool {
	if prefix == "" {
		return true
	}
	base := strings.TrimSuffix(pattern, wildcard)
	return !strings.HasSuffix(prefix, wildcard) && (base == prefix || strings.HasPrefix(base, prefix+"/"))
}
