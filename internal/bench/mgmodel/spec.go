package mgmodel

// Spec describes an engine. A zero field takes the default in brackets; the
// defaults approximate a small dense model on one accelerator.
type Spec struct {
	Memory  int     `toml:"memory"`  // key-value memory, tokens [40000]
	Batch   int     `toml:"batch"`   // maximum number of running sequences [128]
	Chunk   int     `toml:"chunk"`   // maximum number of prompt tokens computed per step [512]
	Block   int     `toml:"block"`   // tokens per block of the prefix cache [64]
	Cache   int     `toml:"cache"`   // size of the prefix cache, tokens [16384]
	Base    float64 `toml:"base"`    // fixed cost of a step, ms [10]
	Each    float64 `toml:"each"`    // cost per decoding sequence, ms [0.08]
	Context float64 `toml:"context"` // cost per 1000 context tokens attended to, ms [0.12]
	Prefill float64 `toml:"prefill"` // cost per 1000 prompt tokens computed, ms [50]
	Speed   float64 `toml:"speed"`   // factor by which steps are faster [1]
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
	s.Batch = intOrDefault(s.Batch, 128)
	s.Chunk = intOrDefault(s.Chunk, 512)
	s.Block = intOrDefault(s.Block, 64)
	s.Cache = intOrDefault(s.Cache, 16384)
	s.Base = floatOrDefault(s.Base, 10)
	s.Each = floatOrDefault(s.Each, 0.08)
	s.Context = floatOrDefault(s.Context, 0.12)
	s.Prefill = floatOrDefault(s.Prefill, 50)
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
