package stand

import (
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"strings"

	openai "github.com/sashabaranov/go-openai"
)

// checksumPrefix starts the last token of every answer.
const checksumPrefix = " sum:"

var words = [...]string{
	"relay", "clock", "spring", "escapement", "tube", "neon", "electrode", "transformer",
	"check", "replace", "measure", "clean", "tighten", "test", "report", "wait",
}

// Answer returns all n tokens of the answer of a model ("model" or "model:adapter") to a prompt; the last is a checksum.
func Answer(model, prompt string, n int) []string {
	if n < 1 {
		return nil
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(model + "\x00" + prompt)) // A hash never returns an error.
	seed := h.Sum64()
	tokens := make([]string, 0, n)
	for i := range n - 1 {
		tokens = append(tokens, token(seed, i))
	}
	return append(tokens, Checksum(tokens))
}

// Checksum returns the last token of the answer whose other tokens are given.
func Checksum(tokens []string) string {
	var sum uint32
	for _, t := range tokens {
		sum = crc32.Update(sum, crc32.IEEETable, []byte(t))
	}
	return fmt.Sprintf("%s%08x", checksumPrefix, sum)
}

// Text returns the whole answer as one string.
func Text(model, prompt string, n int) string {
	return strings.Join(Answer(model, prompt, n), "")
}

// Complete tells whether the text ends with the checksum of the rest of it.
func Complete(text string) bool {
	i := strings.LastIndex(text, checksumPrefix)
	return i >= 0 && Checksum([]string{text[:i]}) == text[i:]
}

// ChatPrompt returns the prompt that the messages of a chat stand for.
func ChatPrompt(messages []openai.ChatCompletionMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content)
		for _, p := range m.MultiContent {
			b.WriteString(p.Text)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// TextPrompt returns the prompt that the prompt field of a completion request stands for.
func TextPrompt(prompt any) string {
	if s, ok := prompt.(string); ok {
		return s
	}
	return fmt.Sprint(prompt)
}

// token names the index, so that a missing, repeated or foreign token shows in the text.
func token(seed uint64, i int) string {
	// The multiplier is that of splitmix64; it spreads neighbouring indices.
	x := (seed + uint64(i)) * 0x9e3779b97f4a7c15
	return fmt.Sprintf(" %s%d.%04x", words[x>>60], i, x>>40&0xffff)
}
