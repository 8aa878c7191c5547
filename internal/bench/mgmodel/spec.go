package mgmodel

// Spec describes an engine. A field that is zero takes the default in
// brackets, which is about a small dense model on one accelerator.
type Spec struct {
	Memory  int     `toml:"memory"`  // key-value memory, tokens [40000]
	Batch   int     `toml:"batch"`   // running sequences at most [128]
	Chunk   int     `toml:"chunk"`   // prompt tokens computed per step at most [512]
	Block   int     `toml:"block"`   // tokens per block of the prefix cache [64]
	Cache   int     `toml:"cache"`   // memory of the prefix cache, tokens [16384]
	Base    float64 `toml:"base"`    // fixed cost of a step, ms [10]
	Each    float64 `toml:"each"`    // cost per decoding sequence, ms [0.08]
	Context float64 `toml:"context"` // cost per 1000 tokens attended to, ms [0.12]
	Prefill float64 `toml:"prefill"` // cost per 1000 prompt tokens computed, ms [50]
	Speed   float64 `toml:"speed"`   // steps are this many times as fast [1]
}

// A Sequence is one generation that is asked of an engine.
type Sequence struct {
	ID       string   // name, unique among the engine's sequences
	Prompt   int      // prompt length, tokens
	Prefix   []uint64 // chained hashes of the prompt's leading blocks
	Output   int      // tokens after which the model ends by itself
	Priority int      // higher goes first
}

// withDefaults returns s with its zero fields replaced.
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
