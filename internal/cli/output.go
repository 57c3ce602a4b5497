package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// The output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

func checkOutput(format string) error {
	if format != outputText && format != outputJSON {
		return errors.Errorf("%q is neither text nor json", format)
	}
	return nil
}

// textWriter is a result that can be written as text.
type textWriter interface {
	writeText(w io.Writer)
}

// print writes a result to standard output in the format given by --output.
func (s *session) print(result textWriter) error {
	w := s.command.Root().Writer
	if s.command.String(flagOutput) == outputJSON {
		return writeJSON(w, result)
	}
	result.writeText(w)
	return nil
}

// warn writes a warning to standard error.
func (s *session) warn(format string, args ...any) {
	fmt.Fprintf(s.command.Root().ErrWriter, "wasabigate: "+format+"\n", args...)
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return errors.Wrap(encoder.Encode(value), "write the output")
}

// newTable returns a writer that aligns columns separated by tabs.
func newTable(w io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
}
