package wire

import (
	"hash/fnv"
	"strconv"
	"strings"
)

// PrefixBlockWords is the number of prompt words in a block of an engine's prefix cache.
const PrefixBlockWords = 16

// PrefixBlocks returns the names of the full cache blocks of a prompt to a model ("model" or "model:adapter"), in order. A name
// is a hash of the model and of all words up to the end of the block, so that prompts with a common prefix share its blocks.
func PrefixBlocks(model, prompt string) []string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model)) // never returns an error
	var blocks []string
	for i, w := range strings.Fields(prompt) {
		_, _ = h.Write([]byte("\x00" + w))
		if (i+1)%PrefixBlockWords == 0 {
			blocks = append(blocks, strconv.FormatUint(h.Sum64(), 16))
		}
	}
	return blocks
}
