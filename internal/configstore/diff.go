package configstore

import (
	"bytes"
	"slices"
	"strings"
)

// maxDiffCells bounds the time and memory of Diff. Above it, all lines between the
// common start and end are shown as removed and added.
const maxDiffCells = 4 << 20

// Diff returns the lines that differ, with the prefix "-" if they are only in from
// and "+" if only in to. It is empty if the texts are equal.
func Diff(from, to []byte) string {
	a, b := lines(from), lines(to)
	a, b = trimCommon(a, b)
	var out strings.Builder
	for _, line := range changes(a, b) {
		out.WriteString(line)
		out.WriteByte('\n')
	}
	return out.String()
}

func lines(text []byte) []string {
	if len(text) == 0 {
		return nil
	}
	return strings.Split(string(bytes.TrimSuffix(text, []byte("\n"))), "\n")
}

// trimCommon removes the common lines at the start and the end.
func trimCommon(a, b []string) ([]string, []string) {
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	return a, b
}

// changes returns the lines that are not in a longest common subsequence of a and
// b, with their prefixes.
func changes(a, b []string) []string {
	if len(a)*len(b) > maxDiffCells {
		return slices.Concat(prefixed("-", a), prefixed("+", b))
	}
	common := commonLengths(a, b)
	var out []string
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			i, j = i+1, j+1
		case common[i+1][j] >= common[i][j+1]:
			out = append(out, "-"+a[i])
			i++
		default:
			out = append(out, "+"+b[j])
			j++
		}
	}
	return slices.Concat(out, prefixed("-", a[i:]), prefixed("+", b[j:]))
}

// commonLengths returns, for each i and j, the length of the longest common
// subsequence of a[i:] and b[j:].
func commonLengths(a, b []string) [][]int {
	lengths := make([][]int, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			}
		}
	}
	return lengths
}

func prefixed(prefix string, from []string) []string {
	out := make([]string, len(from))
	for i, line := range from {
		out[i] = prefix + line
	}
	return out
}
