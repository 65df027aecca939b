package chat

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// Values of Error.Ran: whether an endpoint ran the failed request.
const (
	// RanNo means that no endpoint ran the request.
	RanNo = "no"
	// RanYes means that an endpoint ran the request, at least in part.
	RanYes = "yes"
	// RanUnknown means that an endpoint may have run the request.
	RanUnknown = "unknown"
)

// Values of Choice.FinishReason, as the OpenAI API defines them.
const (
	// FinishStop means that the output is complete.
	FinishStop = "stop"
	// FinishLength means that the output reached its limit.
	FinishLength = "length"
)

// EndOfStream is the data of the last event of a complete stream, as the OpenAI API defines it.
const EndOfStream = "[DONE]"

const (
	// DefaultMaxTokens is the output limit of a request that states none, in tokens.
	DefaultMaxTokens = 256
	// MaxTokensLimit is the largest output limit that a request may state, in tokens.
	MaxTokensLimit = 32768
	// MaxMessages is the largest number of messages in one request.
	MaxMessages = 1024
)

type (
	// Content is the text of a message, decoded from a string or from a list of text parts.
	Content string

	// Message is one message of a conversation.
	Message struct {
		Role    string  `json:"role,omitempty"`
		Content Content `json:"content"`
	}

	// StreamOptions holds the options of a streamed response. IncludeUsage requests the token counts in the last chunk.
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage,omitempty"`
	}

	// Request is a request for a chat completion (Messages) or a text completion (Prompt).
	Request struct {
		Model               string         `json:"model"`
		Messages            []Message      `json:"messages,omitempty"`
		Prompt              Content        `json:"prompt,omitempty"`
		MaxTokens           int            `json:"max_tokens,omitempty"`
		MaxCompletionTokens int            `json:"max_completion_tokens,omitempty"`
		Stream              bool           `json:"stream,omitempty"`
		StreamOptions       *StreamOptions `json:"stream_options,omitempty"`
	}

	// Usage holds the token counts of one request.
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}

	// Choice is one generated output: complete in Message or Text, or a chunk of a stream in Delta or Text.
	Choice struct {
		Index        int      `json:"index"`
		Message      *Message `json:"message,omitempty"`
		Delta        *Message `json:"delta,omitempty"`
		Text         *string  `json:"text,omitempty"`
		FinishReason *string  `json:"finish_reason"`
	}

	// Completion is a complete response or one chunk of a streamed response. Created is in Unix seconds.
	Completion struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []Choice `json:"choices"`
		Usage   *Usage   `json:"usage,omitempty"`
	}

	// Model is one entry of the list of models. Created is in Unix seconds.
	Model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}

	// ModelList is the response to a request for the list of models.
	ModelList struct {
		Object string  `json:"object"`
		Data   []Model `json:"data"`
	}

	// Error is the OpenAI error object, extended by two fields: Ran reports whether the request ran, and RetryAfter is the number
	// of seconds after which the caller may retry, or 0.
	Error struct {
		Message    string `json:"message"`
		Type       string `json:"type"`
		Code       string `json:"code"`
		Ran        string `json:"ran"`
		RetryAfter int    `json:"retry,omitempty"`
	}

	// ErrorBody is the body of an error response.
	ErrorBody struct {
		Error Error `json:"error"`
	}
)

// UnmarshalJSON decodes a string or a list of text parts; a part of another type is an error.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return fmt.Errorf("content part of type %q is not supported", part.Type)
		}
		b.WriteString(part.Text)
	}
	*c = Content(b.String())
	return nil
}

// DecodeRequest decodes and checks a request. Messages are required if chat is set, a prompt otherwise.
func DecodeRequest(body []byte, chat bool) (Request, error) {
	var r Request
	if err := json.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("malformed JSON: %w", err)
	}
	return r, r.check(chat)
}

func (r *Request) check(chat bool) error {
	switch {
	case r.Model == "":
		return errors.New("model is missing")
	case chat && len(r.Messages) == 0:
		return errors.New("messages is missing or empty")
	case len(r.Messages) > MaxMessages:
		return fmt.Errorf("messages holds more than %d entries", MaxMessages)
	case !chat && r.Prompt == "":
		return errors.New("prompt is missing or empty")
	case r.MaxTokens < 0 || r.MaxCompletionTokens < 0:
		return errors.New("max_tokens is negative")
	case r.OutputLimit() > MaxTokensLimit:
		return fmt.Errorf("max_tokens is above %d", MaxTokensLimit)
	}
	return nil
}

// OutputLimit returns the output limit of the request in tokens: max_completion_tokens, max_tokens or DefaultMaxTokens, in this order.
func (r *Request) OutputLimit() int {
	switch {
	case r.MaxCompletionTokens > 0:
		return r.MaxCompletionTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	}
	return DefaultMaxTokens
}

// InputText returns the complete input as one text, for estimates of its size and for prefix hashes.
func (r *Request) InputText() string {
	if len(r.Messages) == 0 {
		return string(r.Prompt)
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

// EstimateTokens estimates the number of tokens in a text at four bytes per token.
func EstimateTokens(text string) int {
	const bytesPerToken = 4
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}
