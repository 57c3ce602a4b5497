package httpapi

import (
	"net/http"

	"github.com/wasabigate/wasabigate/internal/auth"
	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/credential"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// answer writes frames in the shape of the OpenAI interface. All but the text
// comes from the head, so that a reconnected stream looks the same.
type answer struct {
	id      string
	chat    bool
	model   string
	created int64
	usage   bool // a last chunk with the usage is wanted
	ended   bool // nothing follows but the end mark
}

func newAnswer(req *request.Request) *answer {
	a := &answer{id: req.ID, created: req.Received.Unix()}
	if req.Generation != nil {
		a.chat = req.Generation.Chat
		a.model = req.Generation.ModelName
	}
	if position, err := request.ParsePosition(req.ResumeToken); err == nil {
		a.chat = position.Chat
		a.model = position.Model
		a.created = position.CreatedUnix
		a.usage = position.IncludeUsage
		a.ended = position.Ended
	}
	return a
}

// position returns the place after a frame in the stream.
func (a *answer) position(req *request.Request, frame *wire.Frame) request.Position {
	return request.Position{
		Workspace:    req.Workspace,
		RequestID:    frame.GetRequestId(),
		Attempt:      frame.GetAttempt(),
		Sequence:     frame.GetSequence(),
		Address:      req.Target.Address,
		Model:        a.model,
		Chat:         a.chat,
		CreatedUnix:  a.created,
		IncludeUsage: a.usage,
		Ended:        frame.GetTail() != nil,
	}
}

func (a *answer) observe(frame *wire.Frame) {
	a.id = frame.GetRequestId()
	if head := frame.GetHead(); head != nil {
		a.chat = head.GetChat()
		a.model = head.GetModel()
		a.created = head.GetCreatedUnix()
	}
}

// completion is a whole answer or a chunk of a streamed one.
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

func (a *answer) completion(object string, choices ...choice) completion {
	prefix := "cmpl-"
	if a.chat {
		prefix = "chatcmpl-"
	}
	if choices == nil {
		choices = []choice{}
	}
	return completion{ID: prefix + a.id, Object: object, Created: a.created, Model: a.model, Choices: choices}
}

// whole returns an answer that is not streamed.
func (a *answer) whole(text string, tail *wire.Tail) completion {
	reason := tail.GetFinishReason()
	var result completion
	if a.chat {
		result = a.completion("chat.completion", choice{Message: &message{Role: roleAssistant, Content: &text}, FinishReason: &reason})
	} else {
		result = a.completion("text_completion", choice{Text: &text, FinishReason: &reason})
	}
	result.Usage = newUsage(tail)
	return result
}

// chunks returns the events for a frame.
func (a *answer) chunks(frame *wire.Frame) []completion {
	switch {
	case frame.GetHead() != nil && a.chat:
		empty := ""
		return []completion{a.chunk(message{Role: roleAssistant, Content: &empty}, nil)}
	case frame.GetTokens() != nil:
		text := frame.GetTokens().GetText()
		return []completion{a.chunk(message{Content: &text}, nil)}
	case frame.GetTail() != nil:
		return a.lastChunks(frame.GetTail())
	default:
		return nil
	}
}

func (a *answer) lastChunks(tail *wire.Tail) []completion {
	reason := tail.GetFinishReason()
	chunks := []completion{a.chunk(message{}, &reason)}
	if a.usage {
		last := a.completion(a.chunkObject())
		last.Usage = newUsage(tail)
		chunks = append(chunks, last)
	}
	return chunks
}

func (a *answer) chunkObject() string {
	if a.chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

func (a *answer) chunk(delta message, reason *string) completion {
	if a.chat {
		return a.completion(a.chunkObject(), choice{Delta: &delta, FinishReason: reason})
	}
	text := ""
	if delta.Content != nil {
		text = *delta.Content
	}
	return a.completion(a.chunkObject(), choice{Text: &text, FinishReason: reason})
}

// modelList is the answer of the models path.
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

// checkKey authenticates a request that does not pass the chain.
func checkKey(revision *config.Revision, header http.Header) (*config.Key, error) {
	return auth.Authenticate(revision, credential.From(header))
}
