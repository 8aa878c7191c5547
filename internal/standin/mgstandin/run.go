package mgstandin

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// RunEngine serves an engine until ctx ends. It calls ready, unless it is nil, with
// the address once it listens.
func RunEngine(ctx context.Context, spec EngineSpec, ready func(addr string)) error {
	e := NewEngine(spec, mgclock.Clock{})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stepped := make(chan struct{})
	go func() {
		defer close(stepped)
		e.Run(ctx)
	}()
	err := runServer(ctx, spec.Listen, e.Handler(), ready)
	cancel()
	<-stepped
	return err
}

// RunService serves a plain service until ctx ends.
func RunService(ctx context.Context, spec ServiceSpec, ready func(addr string)) error {
	return runServer(ctx, spec.Listen, NewService(spec, mgclock.Clock{}).Handler(), ready)
}

// RunEvents serves an upstream that streams events until ctx ends.
func RunEvents(ctx context.Context, spec EventsSpec, ready func(addr string)) error {
	return runServer(ctx, spec.Listen, NewEvents(spec, mgclock.Clock{}).Handler(), ready)
}

// RunPlatform serves a platform with its initial values until ctx ends.
func RunPlatform(ctx context.Context, spec PlatformSpec, ready func(addr string)) error {
	p := NewPlatform(spec, mgclock.Clock{})
	if spec.Table != "" {
		text, err := os.ReadFile(spec.Table)
		if err != nil {
			return fmt.Errorf("standin: key table: name a file that can be read: %w", err)
		}
		if err := p.PutTable(text); err != nil {
			return fmt.Errorf("standin: key table: %s: %w", spec.Table, err)
		}
	}
	for _, value := range spec.Values {
		if err := p.putFile(value); err != nil {
			return err
		}
	}
	return runServer(ctx, spec.Listen, p.Handler(), ready)
}

// putFile publishes a value given as key=file.
func (p *Platform) putFile(value string) error {
	key, file, found := strings.Cut(value, "=")
	if !found {
		return fmt.Errorf("standin: value %q: write key=file", value)
	}
	body, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("standin: value %q: name a file that can be read: %w", value, err)
	}
	p.Put(key, body)
	return nil
}

func runServer(ctx context.Context, addr string, h http.Handler, ready func(addr string)) error {
	s, err := Listen(addr, h)
	if err != nil {
		return err
	}
	if ready != nil {
		ready(s.Addr())
	}
	<-ctx.Done()
	return s.Close()
}
