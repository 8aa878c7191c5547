package mgentry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mganswer"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
)

// caller reads one answer over successive connections and records what a user
// would see.
type caller struct {
	rig          *rig
	account      string
	answer       string // name of the answer
	lastEventID  string
	tokens       int
	text         strings.Builder
	observed     []string // statuses, and events other than tokens
	stall        mgclock.Millis
	lastReceived mgclock.Millis
	onToken      func(tokens int)
	remedy       string // of the last write's problem
	paddingWords int    // words before the prompt, which lengthen its prefill
}

func (r *rig) caller() *caller {
	return &caller{
		rig:     r,
		account: "tankline",
	}
}

func (c *caller) do(entry, method, path, body string, header map[string]string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(c.rig.ctx, method, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer sample-"+c.account)
	for key, value := range header {
		request.Header.Set(key, value)
	}
	client := http.Client{
		Transport: c.rig.Transport("caller", true),
	}
	return client.Do(request)
}

// ask requests an answer of the given length and reads it until it ends or breaks.
func (c *caller) ask(entry string, length int, stream bool) {
	body := fmt.Sprintf(`{"model":"report","stream":%t,"messages":[{"role":"user","content":"%sshift report len=%d"}]}`, stream, strings.Repeat("level ", c.paddingWords), length)
	response, err := c.do(entry, http.MethodPost, "/v1/chat/completions", body, map[string]string{
		"Resume": "yes",
	})
	c.read(response, err)
}

// resume continues the answer at an entry after the last event received.
func (c *caller) resume(entry string) {
	header := map[string]string{}
	if c.lastEventID != "" {
		header["Last-Event-ID"] = c.lastEventID
	}
	response, err := c.do(entry, http.MethodGet, "/v1/answers/"+c.answer, "", header)
	c.read(response, err)
}

func (c *caller) read(response *http.Response, err error) {
	if err != nil {
		c.observed = append(c.observed, "no response")
		return
	}
	defer response.Body.Close()
	c.observed = append(c.observed, fmt.Sprint(response.StatusCode))
	if response.Header.Get("Content-Type") != "text/event-stream" {
		body, _ := io.ReadAll(response.Body)
		c.observed = append(c.observed, string(bytes.TrimSpace(body)))
		return
	}
	c.lastReceived = c.rig.clock.Now()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		c.line(lines.Text())
	}
	if lines.Err() != nil {
		c.observed = append(c.observed, "cut")
	}
}

func (c *caller) line(line string) {
	switch {
	case strings.HasPrefix(line, "id: "):
		c.lastEventID = strings.TrimPrefix(line, "id: ")
		c.answer, _, _ = mganswer.ParseEventID(c.lastEventID)
	case strings.HasPrefix(line, "data: "):
		c.data(strings.TrimPrefix(line, "data: "))
	case strings.HasPrefix(line, "event: "):
		c.observed = append(c.observed, line)
	}
}

// generation returns the generation that the answer's name identifies.
func (c *caller) generation() string {
	name, err := mganswer.NewSigner(&c.rig.seal).Open(c.account, c.answer)
	if err != nil {
		return "none"
	}
	return name.Generation()
}
