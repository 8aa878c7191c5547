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

// NewClient returns a client that makes its calls by s.
func NewClient(s Seams) Client {
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

// Start starts a generation, or does nothing when the engine has its id.
func (c Client) Start(ctx context.Context, spec StartSpec) error {
	if c.start == nil {
		return unsupportedCall("start")
	}
	return c.start(ctx, spec)
}

// Stream opens the stream of a generation at the token from, which counts
// from 1. The stream ends with ctx.
func (c Client) Stream(ctx context.Context, id string, from uint64) (*TokenStream, error) {
	if c.stream == nil {
		return nil, unsupportedCall("stream")
	}
	return c.stream(ctx, id, from)
}

// Cancel ends a generation. A generation that the engine doesn't hold is no
// failure: it doesn't run.
func (c Client) Cancel(ctx context.Context, id string) error {
	if c.cancel == nil {
		return unsupportedCall("cancel")
	}
	return c.cancel(ctx, id)
}

// Load returns the engine's report, which lags.
func (c Client) Load(ctx context.Context) (Load, error) {
	if c.load == nil {
		return Load{}, unsupportedCall("load")
	}
	return c.load(ctx)
}

// Events returns the published cache events after a number, oldest first.
func (c Client) Events(ctx context.Context, after uint64) ([]Event, error) {
	if c.events == nil {
		return nil, unsupportedCall("events")
	}
	return c.events(ctx, after)
}

// List returns the generations that the engine holds, so that an agent that
// replaced another picks up its predecessor's.
func (c Client) List(ctx context.Context) ([]Generation, error) {
	if c.list == nil {
		return nil, unsupportedCall("list")
	}
	return c.list(ctx)
}

// Order gives an order. A *FenceError says that a newer agent gives them.
func (c Client) Order(ctx context.Context, spec OrderSpec) error {
	if c.order == nil {
		return unsupportedCall("order")
	}
	return c.order(ctx, spec)
}

// Move copies a generation to another engine, and returns once the copy is
// complete. Called again, it copies what is new. A NotStarted failure says that
// the other engine has no room; the generation then goes on, unless this was the
// last call.
func (c Client) Move(ctx context.Context, spec MoveSpec) (Copy, error) {
	if c.move == nil {
		return Copy{}, unsupportedCall("move")
	}
	return c.move(ctx, spec)
}

// absent returns the failure of a call that the client has no way to make.
func unsupportedCall(call string) error {
	return NewFailure(NotStarted, call, "the client has no such call", nil)
}
