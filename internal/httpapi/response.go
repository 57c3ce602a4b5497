package httpapi

import (
	"net/http"

	"github.com/wasabigate/wasabigate/internal/auth"
	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/credential"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// responseBuilder converts frames to objects of the OpenAI API. All fields but the text
// come from the head frame, so that a resumed stream has the same ones.
type responseBuilder struct {
	id           string
	chat         bool
	model        string
	created      int64
	includeUsage bool // the caller asked for a final chunk with the usage
	ended        bool // only the end marker is left to send
}

func newResponseBuilder(req *request.Request) *responseBuilder {
	b := &responseBuilder{id: req.ID, created: req.Received.Unix()}
	if req.Generation != nil {
		b.chat = req.Generation.Chat
		b.model = req.Generation.ModelName
	}
	if position, err := request.ParsePosition(req.ResumeToken); err == nil {
		b.chat = position.Chat
		b.model = position.Model
		b.created = position.CreatedUnix
		b.includeUsage = position.IncludeUsage
		b.ended = position.Ended
	}
	return b
}

// position returns the position in the stream after frame.
func (b *responseBuilder) position(req *request.Request, frame *wire.Frame) request.Position {
	return request.Position{
		Workspace:    req.Workspace,
		RequestID:    frame.GetRequestId(),
		Attempt:      frame.GetAttempt(),
		Sequence:     frame.GetSequence(),
		Address:      req.Target.Address,
		Model:        b.model,
		Chat:         b.chat,
		CreatedUnix:  b.created,
		IncludeUsage: b.includeUsage,
		Ended:        frame.GetTail() != nil,
	}
}

func (b *responseBuilder) observe(frame *wire.Frame) {
	b.id = frame.GetRequestId()
	if head := frame.GetHead(); head != nil {
		b.chat = head.GetChat()
		b.model = head.GetModel()
		b.created = head.GetCreatedUnix()
	}
}

// completion is a complete response or a chunk of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Logprobs     *string  `json:"logprobs"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens        uint32             `json:"prompt_tokens"`
	CompletionTokens    uint32             `json:"completion_tokens"`
	TotalTokens         uint32             `json:"total_tokens"`
	PromptTokensDetails promptTokenDetails `json:"prompt_tokens_details"`
}

type promptTokenDetails struct {
	CachedTokens uint32 `json:"cached_tokens"`
}

const roleAssistant = "assistant"

func newUsage(tail *wire.Tail) *usage {
	return &usage{
		PromptTokens:        tail.GetPromptTokens(),
		CompletionTokens:    tail.GetCompletionTokens(),
		TotalTokens:         tail.GetPromptTokens() + tail.GetCompletionTokens(),
		PromptTokensDetails: promptTokenDetails{CachedTokens: tail.GetCachedTokens()},
	}
}

func (b *responseBuilder) completion(object string, choices ...choice) completion {
	prefix := "cmpl-"
	if b.chat {
		prefix = "chatcmpl-"
	}
	if choices == nil {
		choices = []choice{}
	}
	return completion{ID: prefix + b.id, Object: object, Created: b.created, Model: b.model, Choices: choices}
}

// fullCompletion returns the response to a request without streaming.
func (b *responseBuilder) fullCompletion(text string, tail *wire.Tail) completion {
	reason := tail.GetFinishReason()
	var result completion
	if b.chat {
		result = b.completion("chat.completion", choice{Message: &message{Role: roleAssistant, Content: &text}, FinishReason: &reason})
	} else {
		result = b.completion("text_completion", choice{Text: &text, FinishReason: &reason})
	}
	result.Usage = newUsage(tail)
	return result
}

// chunks returns the events for a frame.
func (b *responseBuilder) chunks(frame *wire.Frame) []completion {
	switch {
	case frame.GetHead() != nil && b.chat:
		empty := ""
		return []completion{b.chunk(message{Role: roleAssistant, Content: &empty}, nil)}
	case frame.GetTokens() != nil:
		text := frame.GetTokens().GetText()
		return []completion{b.chunk(message{Content: &text}, nil)}
	case frame.GetTail() != nil:
		return b.finalChunks(frame.GetTail())
	default:
		return nil
	}
}

func (b *responseBuilder) finalChunks(tail *wire.Tail) []completion {
	reason := tail.GetFinishReason()
	chunks := []completion{b.chunk(message{}, &reason)}
	if b.includeUsage {
		usageChunk := b.completion(b.chunkObject())
		usageChunk.Usage = newUsage(tail)
		chunks = append(chunks, usageChunk)
	}
	return chunks
}

func (b *responseBuilder) chunkObject() string {
	if b.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

func (b *responseBuilder) chunk(delta message, reason *string) completion {
	if b.chat {
		return b.completion(b.chunkObject(), choice{Delta: &delta, FinishReason: reason})
	}
	text := ""
	if delta.Content != nil {
		text = *delta.Content
	}
	return b.completion(b.chunkObject(), choice{Text: &text, FinishReason: reason})
}

// modelList is the response of the models path.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModelList(document *config.Document) modelList {
	list := modelList{Object: "list", Data: []modelItem{}}
	for i := range document.Models {
		list.Data = append(list.Data, modelItem{ID: document.Models[i].Name, Object: "model", OwnedBy: "wasabigate"})
	}
	return list
}

// authenticate authenticates a request that does not pass through the filter chain.
func authenticate(revision *config.Revision, header http.Header) (*config.Key, error) {
	return auth.Authenticate(revision, credential.From(header))
}
