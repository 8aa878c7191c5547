package mgmodel

// Spec describes an engine. A zero field takes the default in brackets; the
// defaults approximate a small dense model on one accelerator.
type Spec struct {
	Memory       int     `toml:"memory"`  // key-value memory, tokens [40000]
	MaxBatch     int     `toml:"batch"`   // maximum number of running sequences [128]
	MaxChunk     int     `toml:"chunk"`   // maximum number of prompt tokens computed per step [512]
	BlockTokens  int     `toml:"block"`   // tokens per block of the prefix cache [64]
	CacheTokens  int     `toml:"cache"`   // size of the prefix cache, tokens [16384]
	StepCost     float64 `toml:"base"`    // fixed cost of a step, ms [10]
	SequenceCost float64 `toml:"each"`    // cost per decoding sequence, ms [0.08]
	ContextCost  float64 `toml:"context"` // cost per 1000 context tokens attended to, ms [0.12]
	PrefillCost  float64 `toml:"prefill"` // cost per 1000 prompt tokens computed, ms [50]
	Speed        float64 `toml:"speed"`   // factor by which steps are faster [1]
}

// Sequence is a request for one generation.
type Sequence struct {
	ID       string   // unique among the engine's sequences
	Prompt   int      // prompt length, tokens
	Prefix   []uint64 // chained hashes of the prompt's leading blocks
	Output   int      // output length, tokens
	Priority int      // higher values are served first
}

// withDefaults returns s with zero fields replaced by their defaults.
func (s Spec) withDefaults() Spec {
	s.Memory = intOrDefault(s.Memory, 40000)
	s.MaxBatch = intOrDefault(s.MaxBatch, 128)
	s.MaxChunk = intOrDefault(s.MaxChunk, 512)
	s.BlockTokens = intOrDefault(s.BlockTokens, 64)
	s.CacheTokens = intOrDefault(s.CacheTokens, 16384)
	s.StepCost = floatOrDefault(s.StepCost, 10)
	s.SequenceCost = floatOrDefault(s.SequenceCost, 0.08)
	s.ContextCost = floatOrDefault(s.ContextCost, 0.12)
	s.PrefillCost = floatOrDefault(s.PrefillCost, 50)
	s.Speed = floatOrDefault(s.Speed, 1)
	return s
}

func intOrDefault(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

func floatOrDefault(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}
