package mgengine

import "context"

// Calls are the functions that implement the calls of an engine's protocol. A
// call whose function is nil fails as NotStarted.
type Calls struct {
	Start  func(ctx context.Context, spec StartSpec) error
	Stream func(ctx context.Context, id string, from uint64) (*TokenStream, error)
	Cancel func(ctx context.Context, id string) error
	Load   func(ctx context.Context) (Load, error)
	Events func(ctx context.Context, after uint64) ([]Event, error)
	List   func(ctx context.Context) ([]Generation, error)
	Order  func(ctx context.Context, spec OrderSpec) error
	Move   func(ctx context.Context, spec MoveSpec) (Copy, error)
}
