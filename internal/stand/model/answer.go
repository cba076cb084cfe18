package model

import (
	"strings"
	"time"

	openai "github.com/sashabaranov/go-openai"
)

func (c *call) usage() openai.Usage {
	u := openai.Usage{PromptTokens: len(strings.Fields(c.prompt)), CompletionTokens: len(c.tokens) - c.resumeFrom}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return u
}

func chatChunk(c *call, token string, last bool) any {
	ch := openai.ChatCompletionStreamChoice{
		Delta: openai.ChatCompletionStreamChoiceDelta{Role: openai.ChatMessageRoleAssistant, Content: token},
	}
	if last {
		ch.FinishReason = openai.FinishReasonStop
	}
	return openai.ChatCompletionStreamResponse{
		ID: c.id, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: c.model,
		Choices: []openai.ChatCompletionStreamChoice{ch},
	}
}

func chatResponse(c *call, text string) any {
	m := openai.ChatCompletionMessage{Role: openai.ChatMessageRoleAssistant, Content: text}
	return openai.ChatCompletionResponse{
		ID: c.id, Object: "chat.completion", Created: time.Now().Unix(), Model: c.model, Usage: c.usage(),
		Choices: []openai.ChatCompletionChoice{{Message: m, FinishReason: openai.FinishReasonStop}},
	}
}

func completionChunk(c *call, token string, last bool) any {
	ch := openai.CompletionChoice{Text: token}
	if last {
		ch.FinishReason = string(openai.FinishReasonStop)
	}
	return openai.CompletionResponse{
		ID: c.id, Object: "text_completion", Created: time.Now().Unix(), Model: c.model,
		Choices: []openai.CompletionChoice{ch},
	}
}

func completionResponse(c *call, text string) any {
	a := completionChunk(c, text, true).(openai.CompletionResponse)
	u := c.usage()
	a.Usage = &u
	return a
}
