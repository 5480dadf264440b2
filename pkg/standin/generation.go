package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

// completionRequest has the fields of a request that the engine reads.
type completionRequest struct {
	Model         string          `json:"model"`
	Stream        bool            `json:"stream"`
	MaxTokens     int             `json:"max_tokens"`
	Messages      json.RawMessage `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`

	// chat is true for a chat completion and false for a text completion.
	chat bool
}

// The answer types follow the OpenAI API.
type (
	answerMessage struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}
	answerChoice struct {
		Index        int            `json:"index"`
		Message      *answerMessage `json:"message,omitempty"`
		Delta        *answerMessage `json:"delta,omitempty"`
		Text         *string        `json:"text,omitempty"`
		FinishReason *string        `json:"finish_reason"`
	}
	answerUsage struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
		Total      int `json:"total_tokens"`
	}
	completionAnswer struct {
		ID      string         `json:"id"`
		Object  string         `json:"object"`
		Created int64          `json:"created"`
		Model   string         `json:"model"`
		Choices []answerChoice `json:"choices"`
		Usage   *answerUsage   `json:"usage,omitempty"`
	}
)

// generation is one answer that is being generated. It continues without a reader.
type generation struct {
	id     string
	req    completionRequest
	tokens int
	// stopped is closed when the generation no longer counts as load of the engine.
	stopped chan struct{}

	mu sync.Mutex
	// events are the events of a stream, without the end marker.
	events    [][]byte
	done      bool
	cancelled bool
	// changed is closed and replaced at each change of the fields above.
	changed chan struct{}
}

func newGeneration(id string, req completionRequest, tokens int) *generation {
	if req.MaxTokens > 0 {
		tokens = min(tokens, req.MaxTokens)
	}
	return &generation{id: id, req: req, tokens: tokens, stopped: make(chan struct{}), changed: make(chan struct{})}
}

// tokenText returns the text of token i.
func tokenText(i int) string { return fmt.Sprintf("word%d ", i) }

// GeneratedText returns the full text that an engine generates for a number of tokens.
func GeneratedText(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(tokenText(i))
	}
	return b.String()
}

func (g *generation) encodeAnswer(object string, choices []answerChoice, usage *answerUsage) []byte {
	b, err := json.Marshal(completionAnswer{
		ID: g.id, Object: object, Created: time.Now().Unix(), Model: g.req.Model, Choices: choices, Usage: usage,
	})
	if err != nil {
		panic(err)
	}
	return b
}

func (g *generation) usage() *answerUsage {
	prompt := (len(g.req.Messages)+len(g.req.Prompt))/4 + 1
	return &answerUsage{prompt, g.tokens, prompt + g.tokens}
}

// tokenEvent returns the event of token i.
func (g *generation) tokenEvent(i int) []byte {
	choice := answerChoice{}
	text := tokenText(i)
	if g.req.chat {
		choice.Delta = &answerMessage{Content: text}
		if i == 0 {
			choice.Delta.Role = "assistant"
		}
		return g.encodeAnswer("chat.completion.chunk", []answerChoice{choice}, nil)
	}
	choice.Text = &text
	return g.encodeAnswer("text_completion", []answerChoice{choice}, nil)
}

// finalEvents returns the events after the last token.
func (g *generation) finalEvents() [][]byte {
	finishReason := "stop"
	object, choice := "text_completion", answerChoice{FinishReason: &finishReason}
	if g.req.chat {
		object, choice.Delta = "chat.completion.chunk", &answerMessage{}
	} else {
		choice.Text = new(string)
	}
	events := [][]byte{g.encodeAnswer(object, []answerChoice{choice}, nil)}
	if g.req.StreamOptions.IncludeUsage {
		events = append(events, g.encodeAnswer(object, []answerChoice{}, g.usage()))
	}
	return events
}

// fullAnswer returns the body of an answer that is not streamed.
func (g *generation) fullAnswer() []byte {
	finishReason, text := "stop", GeneratedText(g.tokens)
	if g.req.chat {
		choice := answerChoice{Message: &answerMessage{"assistant", text}, FinishReason: &finishReason}
		return g.encodeAnswer("chat.completion", []answerChoice{choice}, g.usage())
	}
	return g.encodeAnswer("text_completion", []answerChoice{{Text: &text, FinishReason: &finishReason}}, g.usage())
}

// run generates all events. It returns false when the generation is cancelled.
func (g *generation) run(tokenTime time.Duration, injector *faultInjector) bool {
	for i := range g.tokens {
		if delay := tokenTime + injector.addedDelay(); delay > 0 {
			time.Sleep(delay)
		}
		injector.waitWhilePaused()
		if !g.appendEvents(g.tokenEvent(i)) {
			return false
		}
	}
	return g.appendEvents(g.finalEvents()...) && g.finish(false)
}

// appendEvents adds events unless the generation is cancelled, and reports whether
// it added them.
func (g *generation) appendEvents(events ...[]byte) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cancelled {
		return false
	}
	g.events = append(g.events, events...)
	close(g.changed)
	g.changed = make(chan struct{})
	return true
}

// finish marks the generation as done or as cancelled. It returns false when the
// generation has ended before.
func (g *generation) finish(cancelled bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.done || g.cancelled {
		return false
	}
	g.done, g.cancelled = !cancelled, cancelled
	close(g.changed)
	g.changed = make(chan struct{})
	return true
}

// eventsFrom returns the events from an offset on, whether the generation is done
// or cancelled, and a channel that is closed at the next change.
func (g *generation) eventsFrom(offset int) (events [][]byte, done, cancelled bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if offset < len(g.events) {
		events = g.events[offset:len(g.events):len(g.events)]
	}
	return events, g.done, g.cancelled, g.changed
}
