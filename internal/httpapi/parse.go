package httpapi

import (
	"encoding/json"
	"hash/fnv"
	"strings"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// completionBody is the request body of both generation paths.
type completionBody struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Prompt              *stringOrList `json:"prompt"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Temperature         float64       `json:"temperature"`
	Seed                *int64        `json:"seed"`
	Stop                stringOrList  `json:"stop"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
	N                   *int          `json:"n"`
	ServiceTier         string        `json:"service_tier"`
	Tools               []any         `json:"tools"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content contentText `json:"content"`
}

// contentText is a message's content: a string, or a list of text parts.
type contentText string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *contentText) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*t = contentText(text)
		return nil
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content must be a string or a list of text parts")
	}
	var joined strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return errors.Errorf("content parts of type %q are not supported", part.Type)
		}
		joined.WriteString(part.Text)
	}
	*t = contentText(joined.String())
	return nil
}

// stringOrList is a string or a list of strings.
type stringOrList []string

// UnmarshalJSON implements json.Unmarshaler.
func (l *stringOrList) UnmarshalJSON(data []byte) error {
	var one string
	if json.Unmarshal(data, &one) == nil {
		if string(data) != "null" {
			*l = stringOrList{one}
		}
		return nil
	}
	var list []string
	if err := json.Unmarshal(data, &list); err != nil {
		return errors.New("must be a string or a list of strings")
	}
	*l = list
	return nil
}

// parseCompletion parses and validates the body of a generation path.
func parseCompletion(body []byte, chat bool) (*completionBody, error) {
	var parsed completionBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, invalid("the body is not valid: %v", err)
	}
	if err := parsed.validate(chat); err != nil {
		return nil, err
	}
	return &parsed, nil
}

func invalid(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, format, args...)
}

func (b *completionBody) validate(chat bool) error {
	switch {
	case b.Model == "":
		return invalid("the field \"model\" is missing")
	case chat && len(b.Messages) == 0:
		return invalid("the field \"messages\" is missing or empty")
	case !chat && (b.Prompt == nil || len(*b.Prompt) != 1):
		return invalid("the field \"prompt\" must hold exactly one string")
	case b.N != nil && *b.N != 1:
		return invalid("the field \"n\" must be 1")
	case len(b.Tools) > 0:
		return invalid("the field \"tools\" is not supported")
	case b.Temperature < 0 || b.Temperature > maxTemperature:
		return invalid("the field \"temperature\" must lie between 0 and %d", maxTemperature)
	case b.maxTokens() < 0 || (b.hasMaxTokens() && b.maxTokens() == 0):
		return invalid("the largest number of tokens must be positive")
	}
	return nil
}

const maxTemperature = 2

func (b *completionBody) hasMaxTokens() bool {
	return b.MaxTokens != nil || b.MaxCompletionTokens != nil
}

func (b *completionBody) maxTokens() int {
	switch {
	case b.MaxCompletionTokens != nil:
		return *b.MaxCompletionTokens
	case b.MaxTokens != nil:
		return *b.MaxTokens
	default:
		return 0
	}
}

// promptText returns the prompt for the engine. Messages are joined by a fixed
// template, so that conversations with the same beginning share a prefix.
func (b *completionBody) promptText(chat bool) string {
	if !chat {
		return (*b.Prompt)[0]
	}
	var text strings.Builder
	for _, message := range b.Messages {
		text.WriteString("<|" + message.Role + "|>\n")
		text.WriteString(string(message.Content))
		text.WriteString("\n")
	}
	text.WriteString("<|assistant|>\n")
	return text.String()
}

// generation returns the generation request.
func (b *completionBody) generation(chat bool, requestID string) *request.Generation {
	return &request.Generation{
		ModelName:   b.Model,
		Prompt:      b.promptText(chat),
		MaxTokens:   b.maxTokens(),
		Seed:        b.seed(requestID),
		Temperature: b.Temperature,
		Stop:        b.Stop,
		Chat:        chat,
		Streamed:    b.Stream,
		SharedTexts: b.sharedTexts(chat),
	}
}

// sharedTexts returns the messages before the last one, or the paragraphs of a plain prompt
// before the last one.
func (b *completionBody) sharedTexts(chat bool) []string {
	if !chat {
		paragraphs := strings.Split((*b.Prompt)[0], "\n\n")
		return paragraphs[:len(paragraphs)-1]
	}
	texts := make([]string, 0, len(b.Messages)-1)
	for _, message := range b.Messages[:len(b.Messages)-1] {
		texts = append(texts, message.Role+"\n"+string(message.Content))
	}
	return texts
}

// seed returns the caller's seed, or one derived from the request ID: a generation
// that is resumed on another server must continue with the same seed.
func (b *completionBody) seed(requestID string) int64 {
	if b.Seed != nil {
		return *b.Seed
	}
	if b.Temperature == 0 {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(requestID))
	return int64(hash.Sum64() >> 1)
}
