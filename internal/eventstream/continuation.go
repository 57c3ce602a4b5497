package eventstream

import (
	"bytes"
	"strconv"

	"github.com/pkg/errors"
)

// Continuation checks that the events of another server continue a stream of which the
// receiver has the events up to one. What is no event, such as the text of an error, must
// not get into the middle of a stream.
type Continuation struct {
	lastID string
}

// NewContinuation returns the check of a stream that continues after the event with an id.
func NewContinuation(lastID string) *Continuation { return &Continuation{lastID: lastID} }

// Check returns an error unless the batch consists of comments, and of events with data whose
// ids follow those before.
func (c *Continuation) Check(batch *Batch) error {
	var id string
	hasData := false
	for line := range bytes.Lines(batch.Raw) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if err := c.endEvent(id, hasData); err != nil {
				return err
			}
			id, hasData = "", false
			continue
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isFieldName(name) {
			return errors.Errorf("line %.40q is no field of an event", line)
		}
		switch string(name) {
		case "id":
			id = string(bytes.TrimSpace(value))
		case "data":
			hasData = true
		}
	}
	return nil
}

// endEvent checks the id of an event and records it. Lines without data are no event.
func (c *Continuation) endEvent(id string, hasData bool) error {
	if !hasData {
		return nil
	}
	if !follows(id, c.lastID) {
		return errors.Errorf("an event with id %.40q after %.40q", id, c.lastID)
	}
	c.lastID = id
	return nil
}

// isFieldName reports whether a line that begins so is a field or, with an empty name, a
// comment.
func isFieldName(name []byte) bool {
	return len(bytes.Trim(name, "abcdefghijklmnopqrstuvwxyz-")) == 0
}

// follows reports whether an event with an id may come after the one with the last id. Ids
// that are no numbers need only differ.
func follows(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	if err == nil && lastErr == nil {
		return number > lastNumber
	}
	return id != "" && id != last
}
