// Package tokens estimates the number of tokens of a text from its length. Routers
// reserve this number until an engine has reported the exact one.
package tokens

// BytesPerToken is the mean length of a token, in bytes.
const BytesPerToken = 4

// Count returns the estimated number of tokens in n bytes of text, rounded up.
func Count(n int) int {
	return (n + BytesPerToken - 1) / BytesPerToken
}
