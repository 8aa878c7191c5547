package mgstandin

import (
	"slices"

	"github.com/marjoramgauge/marjoramgauge/internal/connection/mgengine"
)

// Order carries out an order. An engine without fencing also carries out orders with
// an old fencing number, and counts them.
func (e *Engine) Order(spec mgengine.OrderSpec) *mgengine.Refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ensureInitialized()
	older := spec.Fence < e.fence
	if e.spec.Fenced && older {
		e.counts.Refused++
		return &mgengine.Refusal{
			Kind:   mgengine.FenceRefusal,
			Detail: "a newer agent gives the orders",
			Fence:  e.fence,
		}
	}
	if older {
		e.counts.Older++
	}
	e.fence = max(e.fence, spec.Fence)
	e.counts.Orders++
	e.applyOrder(spec)
	return nil
}

func (e *Engine) applyOrder(spec mgengine.OrderSpec) {
	index := slices.Index(e.loaded, spec.Model)
	switch {
	case spec.Kind == mgengine.LoadModel && index < 0:
		e.loaded = append(e.loaded, spec.Model)
	case spec.Kind == mgengine.UnloadModel && index >= 0:
		e.loaded = slices.Delete(e.loaded, index, index+1)
	case spec.Kind == mgengine.SetRole:
		e.role = spec.Model
	}
}

func refusal(kind, detail string) *mgengine.Refusal {
	return &mgengine.Refusal{
		Kind:   kind,
		Detail: detail,
	}
}
