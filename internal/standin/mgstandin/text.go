package mgstandin

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"gonum.org/v1/gonum/stat/distuv"
)

// words make up the text of generations.
var words = [...]string{
	"tank", "level", "gauge", "barrel", "berth", "tide", "seal", "pump",
	"valve", "draft", "crew", "harbour", "ticket", "shift", "sounding", "ullage",
}

// CrashMark in a prompt ends the engine that begins to generate for it: all that it held
// is lost, and it starts again at once.
const CrashMark = "crash=1"

// lengths is the distribution of outputs whose prompt doesn't say: a median of
// 90 tokens, and one in a hundred over 1,200.
var outputLengths = distuv.LogNormal{
	Mu:    4.5,
	Sigma: 1.1,
}

// Text returns a token of a generation, so that a check can tell each token's
// generation and place.
func Text(generation string, seq uint64) string {
	hash := xxhash.Sum64String(generation + "." + strconv.FormatUint(seq, 10))
	return fmt.Sprintf("%s-%04x ", words[hash%uint64(len(words))], hash>>48)
}

// Whole returns the first tokens of a generation in one piece.
func Whole(generation string, tokens int) string {
	var b strings.Builder
	for seq := 1; seq <= tokens; seq++ {
		b.WriteString(Text(generation, uint64(seq)))
	}
	return b.String()
}

// Find returns the generation whose whole text is text, and whether there is
// one: an answer that was cut, doubled, spliced or never generated is found
// nowhere. Generations that still run aren't found.
func (c EngineCounts) Find(text string) (string, Record, bool) {
	for id, record := range c.Generations {
		if record.End != "" && strings.HasPrefix(text, Text(id, 1)) && Whole(id, record.Tokens) == text {
			return id, record, true
		}
	}
	return "", Record{}, false
}

// Output returns how many tokens a prompt generates under a bound of max, 0
// for none. The engine knows it only when the generation ends. A prompt that
// holds len=N generates N.
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

// asked returns the N of the prompt's len=N, or 0.
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
