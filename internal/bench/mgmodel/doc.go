// Package mgmodel is a deterministic simulation of a model engine with
// continuous batching. The benchmark steps it in virtual time, the stand-in
// engine in real time.
//
// One step computes a chunk of the prompts whose context is not yet in memory,
// and one token for each sequence whose context is (iteration-level scheduling:
// Yu et al. 2022, Orca; chunked prefill: Agrawal et al. 2024, Sarathi-Serve).
// The duration of a step grows with the batch size, with the context attended
// to and with the number of prompt tokens computed.
//
// Terms:
//
//   - memory: the key-value cache, counted in tokens. A running sequence
//     occupies memory for its prompt and its output so far (Kwon et al. 2023,
//     vLLM).
//   - preemption: when memory fills up during decoding, the youngest running
//     sequence of the lowest priority loses its memory and returns to the head
//     of the waiting queue. Its tokens stay produced; its whole context is
//     computed again.
//   - prefix cache: the blocks of earlier prompts, by hash, with eviction of
//     the least recently used. It has memory of its own, so that a hit saves
//     computation but no memory.
//
// The model uses no random numbers and no clock: equal calls give equal
// results.
package mgmodel
