package mgengine

import "context"

// A Client makes calls to one engine. The zero Client has no engine: each of
// its calls fails as NotStarted.
type Client struct {
	start  func(ctx context.Context, spec StartSpec) error
	stream func(ctx context.Context, id string, from uint64) (*TokenStream, error)
	cancel func(ctx context.Context, id string) error
	load   func(ctx context.Context) (Load, error)
	events func(ctx context.Context, after uint64) ([]Event, error)
	list   func(ctx context.Context) ([]Generation, error)
	order  func(ctx context.Context, spec OrderSpec) error
	move   func(ctx context.Context, spec MoveSpec) (Copy, error)
}

// NewClient returns a client that makes its calls through s.
func NewClient(s Calls) Client {
	return Client{
		start:  s.Start,
		stream: s.Stream,
		cancel: s.Cancel,
		load:   s.Load,
		events: s.Events,
		list:   s.List,
		order:  s.Order,
		move:   s.Move,
	}
}

// Start starts a generation. It does nothing when the engine already has one with
// the same id.
func (c Client) Start(ctx context.Context, spec StartSpec) error {
	if c.start == nil {
		return unsupportedCall("start")
	}
	return c.start(ctx, spec)
}

// Stream opens the stream of a generation, beginning with token number from.
// Tokens are counted from 1. The stream ends with ctx.
func (c Client) Stream(ctx context.Context, id string, from uint64) (*TokenStream, error) {
	if c.stream == nil {
		return nil, unsupportedCall("stream")
	}
	return c.stream(ctx, id, from)
}

// Cancel ends a generation. It succeeds when the engine has no such generation,
// because then none runs.
func (c Client) Cancel(ctx context.Context, id string) error {
	if c.cancel == nil {
		return unsupportedCall("cancel")
	}
	return c.cancel(ctx, id)
}

// Load returns the engine's load report, which lags behind its real load.
func (c Client) Load(ctx context.Context) (Load, error) {
	if c.load == nil {
		return Load{}, unsupportedCall("load")
	}
	return c.load(ctx)
}

// Events returns the published cache events after a sequence number, oldest
// first.
func (c Client) Events(ctx context.Context, after uint64) ([]Event, error) {
	if c.events == nil {
		return nil, unsupportedCall("events")
	}
	return c.events(ctx, after)
}

// List returns the generations that the engine holds, so that a restarted agent
// can adopt those of its predecessor.
func (c Client) List(ctx context.Context) ([]Generation, error) {
	if c.list == nil {
		return nil, unsupportedCall("list")
	}
	return c.list(ctx)
}

// Order sends an order. A *FenceError means that a newer agent controls the
// engine.
func (c Client) Order(ctx context.Context, spec OrderSpec) error {
	if c.order == nil {
		return unsupportedCall("order")
	}
	return c.order(ctx, spec)
}

// Move copies a generation to another engine and returns when the copy is
// complete. Called again, it copies the tokens added since. A NotStarted failure
// means that the other engine has no memory for it; the generation then continues,
// unless this was the last call (MoveSpec.Last).
func (c Client) Move(ctx context.Context, spec MoveSpec) (Copy, error) {
	if c.move == nil {
		return Copy{}, unsupportedCall("move")
	}
	return c.move(ctx, spec)
}

// unsupportedCall returns the failure of a call that the client doesn't implement.
func unsupportedCall(call string) error {
	return NewFailure(NotStarted, call, "the client doesn't support this call", nil)
}
