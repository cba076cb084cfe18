package wire

type (
	// ChatRequest is the part of a POST /v1/chat/completions body that the engines use.
	ChatRequest struct {
		Model     string        `json:"model"`
		Messages  []ChatMessage `json:"messages"`
		MaxTokens int           `json:"max_tokens,omitempty"`
		// MaxCompletionTokens is the newer name of MaxTokens.
		MaxCompletionTokens int  `json:"max_completion_tokens,omitempty"`
		Stream              bool `json:"stream,omitempty"`
	}

	// ChatMessage is one message of a chat.
	ChatMessage struct {
		Role    string `json:"role"`
		Content string `json:"content,omitempty"`
	}

	// ChatAnswer answers a chat request that is not streamed.
	ChatAnswer struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []ChatChoice `json:"choices"`
		Usage   Usage        `json:"usage"`
	}

	// ChatChoice is the answer to a chat.
	ChatChoice struct {
		Index        int         `json:"index"`
		Message      ChatMessage `json:"message"`
		FinishReason string      `json:"finish_reason"`
	}

	// ChatChunk is one event of a streamed chat.
	ChatChunk struct {
		ID      string            `json:"id"`
		Object  string            `json:"object"`
		Created int64             `json:"created"`
		Model   string            `json:"model"`
		Choices []ChatChunkChoice `json:"choices"`
	}

	// ChatChunkChoice holds the token of a chunk.
	ChatChunkChoice struct {
		Index        int       `json:"index"`
		Delta        ChatDelta `json:"delta"`
		FinishReason *string   `json:"finish_reason"`
	}

	// ChatDelta is what a chunk adds to the message.
	ChatDelta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content,omitempty"`
	}

	// CompletionRequest is the part of a POST /v1/completions body that the engines use.
	CompletionRequest struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens,omitempty"`
		Stream    bool   `json:"stream,omitempty"`
	}

	// CompletionAnswer answers a completion request, and is one event of a streamed one.
	CompletionAnswer struct {
		ID      string             `json:"id"`
		Object  string             `json:"object"`
		Created int64              `json:"created"`
		Model   string             `json:"model"`
		Choices []CompletionChoice `json:"choices"`
		Usage   *Usage             `json:"usage,omitempty"`
	}

	// CompletionChoice is the answer to a completion request, or the token of a chunk.
	CompletionChoice struct {
		Text         string `json:"text"`
		Index        int    `json:"index"`
		FinishReason string `json:"finish_reason"`
	}

	// Usage counts the tokens of a request.
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}
)
