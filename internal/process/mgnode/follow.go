package mgnode

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/go-logr/logr"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

const (
	watchWait  = 30 * mgclock.Second
	watchPause = mgclock.Second
)

// A follower reads the table and the list of VMs straight from the platform.
type follower struct {
	client mgplatform.Client
	clock  mgclock.Clock
	log    logr.Logger
	table  atomic.Pointer[mgtable.Table]
	list   func(mgplatform.List)
}

func (f *follower) run(ctx context.Context) {
	go f.watch(ctx, mgplatform.ManifestKey, f.adopt)
	f.watch(ctx, mgplatform.ListKey, f.relist)
}

func (f *follower) watch(ctx context.Context, key string, take func(context.Context, []byte) error) {
	after := uint64(0)
	for ctx.Err() == nil {
		value, err := f.client.Watch(ctx, key, after, watchWait)
		if errors.Is(err, mgplatform.ErrUnchanged) {
			continue
		}
		if err == nil {
			after = value.Version()
			err = take(ctx, value.Bytes())
		}
		if err != nil {
			f.log.Error(err, "the platform's value was not taken", "key", key)
			f.clock.Sleep(ctx, watchPause)
		}
	}
}

func (f *follower) adopt(ctx context.Context, data []byte) error {
	manifest, err := mgtable.ReadManifest(data)
	if err != nil {
		return err
	}
	if table := f.table.Load(); table != nil && table.Version() >= manifest.Version {
		return nil
	}
	var pages []*mgtable.Page
	for _, digest := range manifest.Pages {
		value, err := f.client.Read(ctx, mgplatform.PageKey(digest))
		if err != nil {
			return err
		}
		page, err := mgtable.ReadPage(value.Bytes())
		if err != nil {
			return err
		}
		pages = append(pages, page)
	}
	table, err := mgtable.Join(manifest, pages)
	if err != nil {
		return err
	}
	f.table.Store(table)
	f.log.Info("a table is in force", "version", table.Version())
	return nil
}

func (f *follower) relist(_ context.Context, data []byte) error {
	list, err := mgplatform.ReadList(data)
	if err != nil {
		return err
	}
	f.list(list)
	return nil
}
