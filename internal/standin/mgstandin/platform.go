package mgstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"

	"github.com/go-chi/chi/v5"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgplatform"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// maxValueBytes bounds the size of a value.
const maxValueBytes = 1 << 20

// maxTableBytes bounds the size of a table. A table of 35,000 accounts has about 7 MB.
const maxTableBytes = 64 << 20

// maxCountedSeconds is the number of seconds for which reads are counted by second.
const maxCountedSeconds = 600

// Platform stands in for the configuration service and the list of VMs. The zero
// Platform is empty and ready for use.
type Platform struct {
	spec  PlatformSpec
	clock mgclock.Clock

	mu          sync.Mutex
	values      map[string][]value // versions of each key, oldest first
	staleValues map[string]value   // answers during a Stale fault
	fault       Fault
	changed     chan struct{} // closed and replaced on each change
	counts      PlatformCounts
}

// value is one version of a value.
type value struct {
	version   uint64
	body      []byte
	visibleAt mgclock.Millis // time from which readers see it
}

// NewPlatform returns an empty platform.
func NewPlatform(spec PlatformSpec, clock mgclock.Clock) *Platform {
	return &Platform{
		spec:  spec,
		clock: clock,
	}
}

// Handler returns the platform's interface and switches.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/values/*", p.read)
	r.Post("/standin/put", p.put)
	r.Post("/standin/table", p.putTable)
	r.Post("/standin/fault", faultHandler(p.Set))
	r.Get("/standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Counts())
	})
	return r
}

// Put publishes a value and returns its version.
func (p *Platform) Put(key string, body []byte) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	v := value{
		version:   1,
		body:      body,
		visibleAt: now,
	}
	if key == mgplatform.ListKey {
		v.visibleAt += p.spec.Lag
	}
	old := p.values[key]
	if len(old) > 0 {
		v.version = old[len(old)-1].version + 1
	}
	if p.values == nil {
		p.values = make(map[string][]value)
	}
	p.values[key] = append(pruneVersions(old, now), v)
	p.notifyChange()
	return v.version
}

// PutVMs publishes the list of VMs, which readers see after the lag. It must not be
// called concurrently.
func (p *Platform) PutVMs(vms []mgplatform.VM) (uint64, error) {
	body, err := json.Marshal(mgplatform.VMList{
		Version: p.version(mgplatform.ListKey) + 1,
		VMs:     vms,
	})
	if err != nil {
		return 0, fmt.Errorf("standin: encode the list of VMs: %w", err)
	}
	return p.Put(mgplatform.ListKey, body), nil
}

// PutTable publishes a table given as TOML. It publishes the pages before the
// manifest, so that no reader gets a manifest whose pages are missing. It rejects a
// faulty table; a test that needs one must Put its parts.
func (p *Platform) PutTable(text []byte) error {
	table, err := mgtable.Parse(text)
	if err != nil {
		return err
	}
	manifest, pages, err := table.Pages(maxValueBytes)
	if err != nil {
		return err
	}
	for i, page := range pages {
		p.Put(mgplatform.PageKey(manifest.Pages[i]), page)
	}
	p.Put(mgplatform.ManifestKey, manifest.Bytes())
	return nil
}

// version returns the newest version of a value, visible or not.
func (p *Platform) version(key string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	versions := p.values[key]
	if len(versions) == 0 {
		return 0
	}
	return versions[len(versions)-1].version
}

// Set sets the fault: Down, Silent, Stale or Heal.
func (p *Platform) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = Fault{}
	if f.Kind == Stale {
		p.staleValues = p.snapshot()
	}
	p.fault = f
	p.notifyChange()
}

// snapshot returns the values that readers see now.
func (p *Platform) snapshot() map[string]value {
	values := make(map[string]value)
	for key := range p.values {
		if v, ok := p.visible(key); ok {
			values[key] = v
		}
	}
	return values
}

// Counts returns the counters.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts
	counts.Seconds = maps.Clone(counts.Seconds)
	return counts
}

// pruneVersions drops the versions that no reader sees any more.
func pruneVersions(versions []value, now mgclock.Millis) []value {
	for len(versions) > 1 && versions[1].visibleAt <= now {
		versions = versions[1:]
	}
	return versions
}

// visible returns the version of a value that readers see now.
func (p *Platform) visible(key string) (value, bool) {
	if p.faultFor(key) == Stale {
		v, ok := p.staleValues[key]
		return v, ok
	}
	versions := pruneVersions(p.values[key], p.clock.Now())
	if len(versions) == 0 || versions[0].visibleAt > p.clock.Now() {
		return value{}, false
	}
	return versions[0], true
}

// notifyChange makes the waiting readers check the state again.
func (p *Platform) notifyChange() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = nil
}

// changeChannel returns the channel that the next notifyChange closes.
func (p *Platform) changeChannel() <-chan struct{} {
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

// countRead counts a read and reports whether the rate limit allows it.
func (p *Platform) countRead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	second := int64(p.clock.Now() / mgclock.Second)
	c := &p.counts
	if c.Seconds == nil {
		c.Seconds = make(map[int64]int)
	}
	c.Reads++
	c.Seconds[second]++
	c.Peak = max(c.Peak, c.Seconds[second])
	delete(c.Seconds, second-maxCountedSeconds)
	if p.spec.Rate > 0 && c.Seconds[second] > p.spec.Rate {
		c.Refused++
		return false
	}
	return true
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	if !p.countRead() {
		w.Header().Set("Retry-After", "1")
		writeRefusal(w, http.StatusTooManyRequests, "rate", "too many reads a second; read less often")
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
	v, found := p.waitForVersion(r.Context(), chi.URLParam(r, "*"), after, mgclock.Millis(wait))
	switch {
	case !found:
		writeRefusal(w, http.StatusNotFound, "missing", "no value has this key")
	case after > 0 && v.version <= after:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set(VersionHeader, strconv.FormatUint(v.version, 10))
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(v.body)
	}
}

// waitForVersion returns a value once its version is above after, or when wait has
// passed.
func (p *Platform) waitForVersion(ctx context.Context, key string, after uint64, wait mgclock.Millis) (value, bool) {
	timeout := p.clock.After(wait)
	for {
		applyConnectionFault(ctx, func() (string, <-chan struct{}) { return p.currentFault(key) })
		p.mu.Lock()
		v, found := p.visible(key)
		change := p.changeChannel()
		nextVisible := p.nextVisible(key)
		p.mu.Unlock()
		if found && v.version > after || wait <= 0 {
			return v, found
		}
		select {
		case <-change:
		case <-nextVisible:
		case <-timeout:
			return v, found
		case <-ctx.Done():
			return v, found
		}
	}
}

// nextVisible returns a channel that is closed when the next version of a value
// becomes visible, or nil if there is none.
func (p *Platform) nextVisible(key string) <-chan struct{} {
	now := p.clock.Now()
	for _, v := range p.values[key] {
		if v.visibleAt > now {
			return p.clock.After(v.visibleAt - now)
		}
	}
	return nil
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil || key == "" {
		writeRefusal(w, http.StatusBadRequest, "invalid", "give a key and a value under 1 MB")
		return
	}
	w.Header().Set(VersionHeader, strconv.FormatUint(p.Put(key, body), 10))
}

func (p *Platform) putTable(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTableBytes))
	if err == nil {
		err = p.PutTable(text)
	}
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, "invalid", err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// currentFault returns the current fault kind of a key and a channel that is closed
// when the state changes.
func (p *Platform) currentFault(key string) (string, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faultFor(key), p.changeChannel()
}

// faultFor returns the fault kind that applies to a key. A fault can spare one key, so
// that the list of VMs works while the configuration fails, or the reverse.
func (p *Platform) faultFor(key string) string {
	if p.fault.ExemptKey == key {
		return Heal
	}
	return p.fault.Kind
}

// applyConnectionFault simulates the faults that affect whole connections, and returns
// once none of them is active.
func applyConnectionFault(ctx context.Context, currentFault func() (string, <-chan struct{})) {
	for {
		fault, changed := currentFault()
		switch fault {
		case Down, Die:
			panic(http.ErrAbortHandler)
		case Silent:
			select {
			case <-changed:
			case <-ctx.Done():
				panic(http.ErrAbortHandler)
			}
		default:
			return
		}
	}
}
