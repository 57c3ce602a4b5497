// Package recording stores the requests that gateways logged under load in a small
// file, so that they can be replayed against another placement policy.
package recording

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/explain"
	"github.com/wasabigate/wasabigate/internal/logging"
)

// Arrival is a request for an engine as a gateway received it.
type Arrival struct {
	AtMs         int64  `json:"at_ms"` // since the first arrival
	Gateway      string `json:"gateway"`
	Part         string `json:"part,omitempty"` // hash of the last shared part; empty: none
	SharedTokens int64  `json:"shared_tokens"`
	OwnTokens    int64  `json:"own_tokens"`
	OutputTokens int64  `json:"output_tokens"`
	TargetMs     int64  `json:"target_ms"` // target for the time to the first token; 0: none
}

// FromLog returns the arrivals that gateways logged, ordered by time. Lines of
// retries and of plain services are skipped.
func FromLog(log *explain.Log) []Arrival {
	var arrivals []Arrival
	var first int64
	for i := range log.Lines {
		line := &log.Lines[i]
		if _, ok := line.Fields[logging.FieldOwnTokens]; !ok {
			continue
		}
		at := line.Time.UnixMilli()
		if len(arrivals) == 0 {
			first = at
		}
		part, _ := line.Fields[logging.FieldPart].(string) // a prompt without shared parts has none
		arrivals = append(arrivals, Arrival{
			AtMs: at - first, Gateway: line.Process(), Part: part,
			SharedTokens: number(line, logging.FieldSharedTokens),
			OwnTokens:    number(line, logging.FieldOwnTokens),
			OutputTokens: number(line, logging.FieldOutputTokens),
			TargetMs:     number(line, logging.FieldTargetMs),
		})
	}
	return arrivals
}

// number returns the value of a numeric field. A field that is not a number counts
// as 0, as the line may come from another program.
func number(line *explain.Line, name string) int64 {
	value, _ := line.Fields[name].(float64)
	return int64(value)
}

// Write writes one line for each arrival.
func Write(w io.Writer, arrivals []Arrival) error {
	encoder := json.NewEncoder(w)
	for i := range arrivals {
		if err := encoder.Encode(&arrivals[i]); err != nil {
			return errors.Wrap(err, "write the recording")
		}
	}
	return nil
}

// Read reads the output of Write. It fails on a line that is not an arrival.
func Read(r io.Reader) ([]Arrival, error) {
	var arrivals []Arrival
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		var a Arrival
		if err := json.Unmarshal(scanner.Bytes(), &a); err != nil {
			return nil, errors.Wrapf(err, "line %d of the recording", len(arrivals)+1)
		}
		arrivals = append(arrivals, a)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read the recording")
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.AtMs - b.AtMs) })
	return arrivals, nil
}
