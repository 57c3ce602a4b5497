package config

import (
	"testing"

	"github.com/pkg/errors"
)

const editedDocument = `# about all
[workspace a]
# the rate of a
rate = 1  # tokens
burst = 2

# about b
[workspace b]
rate = 3
burst = 4

[route chat]
path = /v1/chat/completions
`

func TestEditor(t *testing.T) {
	cases := []struct {
		name string
		edit func(*Editor) error
		want string
	}{
		{"set keeps comments", func(e *Editor) error { return e.Set("workspace", "a", Entry{"rate", "9"}) }, `# about all
[workspace a]
# the rate of a
rate = 9 # tokens
burst = 2

# about b
[workspace b]
rate = 3
burst = 4

[route chat]
path = /v1/chat/completions
`},
		{"set adds", func(e *Editor) error {
			return e.Set("workspace", "b", Entry{"max_class", "urgent"}, Entry{"burst", "5"})
		}, `# about all
[workspace a]
# the rate of a
rate = 1  # tokens
burst = 2

# about b
[workspace b]
rate = 3
burst = 5
max_class = urgent

[route chat]
path = /v1/chat/completions
`},
		{"remove deletes the comment above", func(e *Editor) error { return e.Remove("workspace", "b") }, `# about all
[workspace a]
# the rate of a
rate = 1  # tokens
burst = 2

[route chat]
path = /v1/chat/completions
`},
		{"add and remove", func(e *Editor) error {
			e.Add("key", "k", Entry{"workspace", "a"})
			return e.Remove("key", "k")
		}, editedDocument},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			editor := NewEditor([]byte(editedDocument))
			if err := c.edit(editor); err != nil {
				t.Fatal(err)
			}
			if got := string(editor.Text()); got != c.want {
				t.Errorf("text:\n%s\nwant:\n%s", got, c.want)
			}
		})
	}
}

func TestEditorReportsMissingSection(t *testing.T) {
	editor := NewEditor([]byte(editedDocument))
	if err := editor.Set("workspace", "c", Entry{"rate", "1"}); !errors.Is(err, ErrNoSection) {
		t.Errorf("set: %v", err)
	}
	if err := editor.Remove("key", "a"); !errors.Is(err, ErrNoSection) {
		t.Errorf("remove: %v", err)
	}
	if string(editor.Text()) != editedDocument {
		t.Error("the text changed")
	}
}
