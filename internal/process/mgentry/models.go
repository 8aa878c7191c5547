package mgentry

import (
	"encoding/json"
	"net/http"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// modelRow is an entry of the model list in the format of OpenAI's API.
type modelRow struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// models lists the names that the account may use as a request's model: the
// generation services that it may use, and their models.
func (e *Entry) models(w http.ResponseWriter, _ *http.Request, c caller) {
	rows := []modelRow{}
	seen := map[string]bool{}
	add := func(name string) {
		if seen[name] {
			return
		}
		seen[name] = true
		rows = append(rows, modelRow{
			ID:     name,
			Object: "model",
			Owner:  "marjoramgauge",
		})
	}
	for service := range c.table.Services() {
		if service.Kind() == mgtable.Generation && c.account.AllowsService(service.Name()) {
			add(service.Name())
			add(service.Model())
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"object": "list",
		"data":   rows,
	})
}
