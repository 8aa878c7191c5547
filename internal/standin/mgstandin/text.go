package mgstandin

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"
)

// words are the vocabulary of generated text.
var words = [...]string{
	"tank", "level", "gauge", "barrel", "berth", "tide", "seal", "pump",
	"valve", "draft", "crew", "harbour", "ticket", "shift", "sounding", "ullage",
}

// CrashMark in a prompt crashes the engine that begins to generate for it: the engine
// loses all its generations and restarts at once.
const CrashMark = "crash=1"

// CrashPartMark does the same. It stands in a part of prompts that are unlike otherwise.
const CrashPartMark = "crash=2"

// CrashLateMark does the same once the engine has generated crashLateTokens tokens for it.
const CrashLateMark = "crash=3"

const crashLateTokens = 12

// outputLengths is the distribution of output lengths for prompts that don't specify
// one: a median of 90 tokens, and one in a hundred over 1,200.
var outputLengths = distuv.LogNormal{
	Mu:    4.5,
	Sigma: 1.1,
}

// Text returns the token seq of a generation. The text identifies the generation and
// the position of the token, which checks rely on.
func Text(generation string, seq uint64) string {
	hash := xxhash.Sum64String(generation + "." + strconv.FormatUint(seq, 10))
	return fmt.Sprintf("%s-%04x ", words[hash%uint64(len(words))], hash>>48)
}

// WrittenBy returns the name under which a software version writes a generation's text. The text
// of a generation that continues at another version belongs to neither name.
func WrittenBy(generation, version string) string {
	if version == "" {
		return generation
	}
	return generation + "@" + version
}

// FirstTokens returns the first tokens of a generation, joined.
func FirstTokens(generation string, tokens int) string {
	var b strings.Builder
	for seq := 1; seq <= tokens; seq++ {
		b.WriteString(Text(generation, uint64(seq)))
	}
	return b.String()
}

// Find returns the ended generation whose whole text equals text, and whether there is
// one. A text that was cut, doubled, spliced or never generated isn't found, nor is
// that of a running generation.
func (c EngineCounts) Find(text string) (string, Record, bool) {
	for id, record := range c.Generations {
		if record.End != "" && strings.HasPrefix(text, Text(id, 1)) && FirstTokens(id, record.Tokens) == text {
			return id, record, true
		}
	}
	return "", Record{}, false
}

// Output returns the number of tokens generated for a prompt, at most max, or without
// a bound if max is 0. A prompt that contains len=N generates N tokens. The engine
// learns the number only at the end of the generation.
func Output(prompt string, max int) int {
	n := requestedLength(prompt)
	if n == 0 {
		uniform := (float64(xxhash.Sum64String(prompt)>>11) + 0.5) / (1 << 53)
		n = 1 + int(math.Floor(outputLengths.Quantile(uniform)))
	}
	if max > 0 && n > max {
		return max
	}
	return n
}

// requestedLength returns the N of len=N in the prompt, or 0.
func requestedLength(prompt string) int {
	_, rest, found := strings.Cut(prompt, "len=")
	if !found {
		return 0
	}
	digits := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
	if digits < 0 {
		digits = len(rest)
	}
	n, err := strconv.Atoi(rest[:digits])
	if err != nil || n < 1 {
		return 0
	}
	return n
}
