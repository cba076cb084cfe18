package stand

import (
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"strings"

	openai "github.com/sashabaranov/go-openai"
)

// checksumPrefix is the prefix of the last token of every answer.
const checksumPrefix = " sum:"

var words = [...]string{
	"relay", "clock", "spring", "escapement", "tube", "neon", "electrode", "transformer",
	"check", "replace", "measure", "clean", "tighten", "test", "report", "wait",
}

// AnswerTokens returns the n tokens of a model's answer to a prompt; the last token is a checksum of the others.
// The model is written "model" or "model:adapter".
func AnswerTokens(model, prompt string, n int) []string {
	if n < 1 {
		return nil
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(model + "\x00" + prompt)) // A hash.Hash never returns an error.
	seed := h.Sum64()
	tokens := make([]string, 0, n)
	for i := range n - 1 {
		tokens = append(tokens, token(seed, i))
	}
	return append(tokens, Checksum(tokens))
}

// Checksum returns the token that ends an answer with the given other tokens.
func Checksum(tokens []string) string {
	var sum uint32
	for _, t := range tokens {
		sum = crc32.Update(sum, crc32.IEEETable, []byte(t))
	}
	return fmt.Sprintf("%s%08x", checksumPrefix, sum)
}

// AnswerText returns the tokens of AnswerTokens joined into one string.
func AnswerText(model, prompt string, n int) string {
	return strings.Join(AnswerTokens(model, prompt, n), "")
}

// HasValidChecksum reports whether the text ends with the checksum of everything before it.
func HasValidChecksum(text string) bool {
	i := strings.LastIndex(text, checksumPrefix)
	return i >= 0 && Checksum([]string{text[:i]}) == text[i:]
}

// ChatPrompt returns the prompt built from the messages of a chat request: one line for each message, with its role.
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

// TextPrompt returns the prompt field of a completion request as text.
func TextPrompt(prompt any) string {
	if s, ok := prompt.(string); ok {
		return s
	}
	return fmt.Sprint(prompt)
}

// token returns the token at index i, which contains the index, so that a missing, repeated or foreign token is detected in the text.
func token(seed uint64, i int) string {
	// The multiplier of splitmix64 gives neighbouring indices different bits.
	x := (seed + uint64(i)) * 0x9e3779b97f4a7c15
	return fmt.Sprintf(" %s%d.%04x", words[x>>60], i, x>>40&0xffff)
}
