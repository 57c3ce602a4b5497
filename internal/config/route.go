package config

import "strings"

// The generation paths.
const (
	PathChatCompletions = "/v1/chat/completions"
	PathCompletions     = "/v1/completions"
)

// wildcard ends a path that stands for all paths below it.
const wildcard = "/*"

// reservedPaths are served by the router itself, with what is below them.
var reservedPaths = []string{"/v1", "/healthz", "/readyz", "/metrics"}

// IsGenerationPath says whether path leads to model engines.
func IsGenerationPath(path string) bool {
	return path == PathChatCompletions || path == PathCompletions
}

// Matches says whether a request with that method and path takes the route.
func (r *Route) Matches(method, path string) bool {
	return (r.Method == "" || r.Method == method) && pathMatches(r.Path, path)
}

// ServicePath returns the path that the service sees.
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

// overlaps says whether some request matches both routes.
func (r *Route) overlaps(other *Route) bool {
	if r.Path == "" || other.Path == "" {
		return false // reported before
	}
	if r.Method != "" && other.Method != "" && r.Method != other.Method {
		return false
	}
	return pathMatches(r.Path, other.Path) || pathMatches(other.Path, r.Path)
}

func reserved(path string) bool {
	bare := strings.TrimSuffix(path, wildcard)
	for _, base := range reservedPaths {
		if bare == "" || bare == base || strings.HasPrefix(bare, base+"/") {
			return true
		}
	}
	return false
}

// strips says whether prefix can be taken off every path of the route.
func strips(path, prefix string) bool {
	if prefix == "" {
		return true
	}
	bare := strings.TrimSuffix(path, wildcard)
	return !strings.HasSuffix(prefix, wildcard) && (bare == prefix || strings.HasPrefix(bare, prefix+"/"))
}
