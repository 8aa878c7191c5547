// Package mgprefix names the blocks of a prompt and remembers which of them an
// engine's prefix cache holds.
//
// A block's hash covers all blocks before it, as in a hash chain, so that equal
// hashes mean equal prompts up to the block's end (Kwon et al. 2023, Efficient
// Memory Management for Large Language Model Serving with PagedAttention; Zheng
// et al. 2024, SGLang). The record is a guess: an engine's cache events come
// late and with gaps. It steers where work goes and never what is answered.
package mgprefix
