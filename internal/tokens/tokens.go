// Package tokens counts the tokens of a text. Engines count exactly; the count
// here is what a router reserves before an engine has answered.
package tokens

// BytesPerToken is the mean length of a token, in bytes.
const BytesPerToken = 4

// Count returns the number of tokens in n bytes of text, rounded up.
func Count(n int) int {
	return (n + BytesPerToken - 1) / BytesPerToken
}
