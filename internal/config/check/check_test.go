package check

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/wasabigate/wasabigate/internal/config"
)

const document = `[environment]
name = Test
[model m]
group = engines
weights_version = v1
[group engines]
kind = engines
[group desk]
kind = service
[workspace w]
rate = 100
burst = 1000
[key k]
workspace = w
sha256 = 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
[route chat]
path = /v1/chat/completions
[route desk]
path = /desk
group = desk
`

func warningTexts(t *testing.T, text string, withdrawn func(string) bool) []string {
	t.Helper()
	d, err := config.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var texts []string
	for _, w := range Document(d, config.Sections([]byte(text)), withdrawn) {
		texts = append(texts, string(w.Kind)+": "+w.String())
	}
	return texts
}

// Guards against contradictions and dead entries that pass unreported, at a wrong line, or
// are reported where there are none.
func TestDocument(t *testing.T) {
	const open = "[route x]\npath = /x\ngroup = desk\naccess = open\nworkspace = o\n"
	cases := []struct {
		name     string
		old, new string // replaced in document; an empty old appends
		want     []string
	}{
		{"nothing", "", "", nil},
		{"at the bounds", "rate = 100\nburst = 1000", "rate = 5130\nburst = 513", nil},
		{"rate far above burst", "", "[workspace o]\nrate = 31\nburst = 3\n" + open, []string{
			"contradictory: line 22: [workspace o] rate: 31 is more than 10 times the burst, 3: only requests that are spread evenly reach the rate"}},
		{"idle workspace", "", "[workspace o]\nrate = 1\nburst = 1\n", []string{
			"unused: line 21: [workspace o] no valid key and no open route belongs to the workspace"}},
		{"idle group", "", "[group spare]\nkind = service\n", []string{"unused: line 21: [group spare] no model and no route names the group"}},
		{"undefined base", "weights_version = v1", "weights_version = v1\nbase = big", []string{"undefined: line 6: [model m] base: there is no section [model big]"}},
		{"no generation route", "[route chat]\npath = /v1/chat/completions\n", "", []string{"unused: line 3: [model m] no route has a generation path"}},
		{"no model", "[model m]\ngroup = engines\nweights_version = v1\n", "", []string{
			"unused: line 3: [group engines] no model and no route names the group",
			"unused: line 14: [route chat] path: there is no model"}},
		{"burst below default completion", "burst = 1000", "burst = 512", []string{
			"contradictory: line 12: [workspace w] burst: 512 is too small for requests to model m without max_tokens, which take default_max_tokens, 512, and the prompt"}},
		{"burst below every request", "group = desk\n", "group = desk\ncost = 3\n[workspace o]\nrate = 1\nburst = 1\n[key o]\nworkspace = o\nsha256 = " + strings.Repeat("1", 64) + "\n", []string{
			"contradictory: line 24: [workspace o] burst: 1 is below the cost of the smallest request that the workspace may send, 2"}},
		{"cost above every burst", "group = desk\n", "group = desk\ncost = 1001\n", []string{
			"unused: line 21: [route desk] cost: 1001 is above the burst of every workspace that may use the route"}},
		{"class above every max_class", "", "[workspace o]\nrate = 1\nburst = 1\nmax_class = deferrable\n" + open, []string{
			"contradictory: line 25: [route x] class: urgent is above max_class of every workspace that may use the route"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := document + c.new
			if c.old != "" {
				text = strings.Replace(document, c.old, c.new, 1)
			}
			if got := warningTexts(t, text, nil); !slices.Equal(got, c.want) {
				t.Errorf("warnings:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(c.want, "\n"))
			}
		})
	}
}

// Guards against counting a withdrawn key as one that may use routes.
func TestWithdrawnKeyOpensNothing(t *testing.T) {
	got := warningTexts(t, document, func(id string) bool { return id == "k" })
	want := []string{
		"unused: line 10: [workspace w] no valid key and no open route belongs to the workspace",
		"unused: line 13: [key k] the key is withdrawn and stays so",
		"unused: line 16: [route chat] access: no valid key may use the route",
		"unused: line 18: [route desk] access: no valid key may use the route"}
	if !slices.Equal(got, want) {
		t.Errorf("warnings:\n%s", strings.Join(got, "\n"))
	}
}

// Guards against warnings about the configurations that the documentation recommends.
func TestExamplesHaveNoWarnings(t *testing.T) {
	for _, name := range []string{"association", "consortium"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", name+".ini"))
		if err != nil {
			t.Fatal(err)
		}
		if got := warningTexts(t, string(text), nil); got != nil {
			t.Errorf("%s:\n%s", name, strings.Join(got, "\n"))
		}
	}
}

// Guards against missed or reordered changes, and against whole key digests in the output.
func TestCompare(t *testing.T) {
	from := "[b]\nx = 1\ngone = 2\n[a]\nk = 1\n[old]\nf = 1\n[key k]\nsha256 = 00112233445566778899\n"
	to := "# comment\n[key k]\nsha256 = 99112233445566778899\n[a]\nk = 1\n[new]\nf = 1\n[b]\nadded = 3\nx = 2\n"
	want := []string{"+ [b] added = 3", "- [b] gone = 2", "~ [b] x: 1 -> 2", "~ [key k] sha256: 00112233... -> 99112233...",
		"+ [new]", "+ [new] f = 1", "- [old]", "- [old] f = 1"}
	for range 20 { // maps are iterated in another order each time
		var got []string
		for _, c := range Compare(config.Sections([]byte(from)), config.Sections([]byte(to))) {
			got = append(got, c.String())
		}
		if !slices.Equal(got, want) {
			t.Fatalf("changes:\n%s", strings.Join(got, "\n"))
		}
	}
	if got := Compare(config.Sections([]byte(to)), config.Sections([]byte(to))); got != nil {
		t.Errorf("changes of equal documents: %v", got)
	}
}
