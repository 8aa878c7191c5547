// Package mgmodel is a deterministic model of a model engine that batches
// continuously. The bench steps it in virtual time, the engine stand-in in
// real time.
//
// One step computes a chunk of the prompts that are not yet in memory and one
// token of each sequence that is (iteration-level scheduling: Yu et al. 2022,
// Orca; chunked prefill: Agrawal et al. 2024, Sarathi-Serve). The duration of
// a step grows with the batch, with the context that it attends to and with
// the prompt tokens that it computes.
//
// Terms:
//
//   - memory: the key-value cache, counted in tokens. A running sequence holds
//     its prompt and what it has produced (Kwon et al. 2023, vLLM).
//   - preemption: when memory fills in the middle of decoding, the running
//     sequence of the lowest priority, the youngest first, loses its memory and
//     goes back to the head of the waiting line. Its tokens stay produced; its
//     whole context is computed again.
//   - prefix cache: the blocks of earlier prompts, by hash, least recently used
//     first out. It has memory of its own, so that a hit saves computing but no
//     memory.
//
// The model has no random numbers and no clock: equal calls give equal
// results.
package mgmodel
