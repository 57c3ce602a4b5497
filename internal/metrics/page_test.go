package metrics

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	codePattern = regexp.MustCompile(`"(wasabigate\.[a-z_]+\.[a-z_]+|http\.server\.request\.duration)"`)
	pagePattern = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\|")
)

func TestEveryMetricIsOnThePage(t *testing.T) {
	var code []string
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range codePattern.FindAllSubmatch(text, -1) {
			code = append(code, string(match[1]))
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	var page []string
	for _, match := range pagePattern.FindAllSubmatch(text, -1) {
		page = append(page, string(match[1]))
	}
	slices.Sort(code)
	slices.Sort(page)
	if code = slices.Compact(code); !slices.Equal(code, page) || len(code) == 0 {
		t.Errorf("in the code:\n%s\non the page:\n%s", strings.Join(code, "\n"), strings.Join(page, "\n"))
	}
}
