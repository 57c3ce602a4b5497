package configstore

import (
	"bytes"
	"slices"
	"strings"
)

// maxDiffCells bounds the work of Diff; beyond it, the changed stretch is shown
// as removed and added whole.
const maxDiffCells = 4 << 20

// Diff returns the lines that differ: "-" marks lines only in from, "+" lines
// only in to. It is empty if the texts are equal.
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

// trimCommon takes equal lines off both ends.
func trimCommon(a, b []string) ([]string, []string) {
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	return a, b
}

// changes walks a longest common subsequence of a and b.
func changes(a, b []string) []string {
	if len(a)*len(b) > maxDiffCells {
		return slices.Concat(marked("-", a), marked("+", b))
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
	return slices.Concat(out, marked("-", a[i:]), marked("+", b[j:]))
}

// commonLengths returns the length of the longest common subsequence of a[i:]
// and b[j:] for each i and j.
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

func marked(mark string, from []string) []string {
	out := make([]string, len(from))
	for i, line := range from {
		out[i] = mark + line
	}
	return out
}
