// Package mgprefix hashes the blocks of a prompt and records which of them an
// engine's prefix cache holds.
//
// A block's hash covers all blocks before it, as in a hash chain, so that equal
// hashes mean equal prompts up to the block's end (Kwon et al. 2023, Efficient
// Memory Management for Large Language Model Serving with PagedAttention; Zheng
// et al. 2024, SGLang). The record is an approximation: an engine's cache
// events are late and have gaps. It affects routing only, never the content of
// an answer.
package mgprefix
