package mgentry

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbody"
	"github.com/marjoramgauge/marjoramgauge/internal/process/mgbudget"
	"github.com/marjoramgauge/marjoramgauge/internal/request/mgprefix"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgtable"
)

// defaultDeadline bounds the time to the first token for a service whose table
// row sets no deadline.
const defaultDeadline = 10 * mgclock.Second

// resumeHeader is sent, with any value, by callers that may resume their answers
// after a lost connection.
const resumeHeader = "Resume"

// body is the JSON body of a completion request, in the format of OpenAI's API.
// Other keys of that format, such as temperature, are accepted and ignored.
type body struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Choices             int             `json:"n"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// job is a completion request that was validated against the table.
type job struct {
	caller
	service            *mgtable.Service
	model              string
	prompt             string
	promptTokens       int      // estimated
	prefixHashes       []uint64 // of the prompt's blocks
	maxTokens          int      // of output
	stream             bool
	includeUsage       bool
	chat               bool
	canResume          bool // the caller may resume after a lost connection
	receivedAt         mgclock.Millis
	firstTokenDeadline mgclock.Millis
}

func invalid(detail, remedy string) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Invalid, mgproblem.NotRun, detail, remedy)
}

// parse decodes and validates a completion request.
func (e *Entry) parse(w http.ResponseWriter, r *http.Request, c caller, chat bool) (*job, *mgproblem.Problem) {
	var in body
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		return nil, bodyProblem(w, err)
	}
	// Until its end has been read the request counts as one that is still arriving.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil, bodyProblem(w, err)
	}
	if in.Choices > 1 {
		return nil, invalid("n is more than 1", "send one request for each answer")
	}
	if in.MaxTokens < 0 || in.MaxCompletionTokens < 0 {
		return nil, invalid("max_tokens is negative", "give 1 or more, or leave it out")
	}
	service, model, problem := resolve(c, in.Model)
	if problem != nil {
		return nil, problem
	}
	prompt, problem := parsePrompt(in, chat)
	if problem != nil {
		return nil, problem
	}
	// From here on the prompt is held once here and once in the message to the agent.
	mgbudget.ClaimOf(r.Context()).Trim(2 * int64(len(prompt)))
	j := &job{
		caller:       c,
		service:      service,
		model:        model.Name(),
		prompt:       prompt,
		promptTokens: mgprefix.Tokens(prompt),
		prefixHashes: mgprefix.Blocks(nil, prompt),
		maxTokens:    minPositive(model.MaxOutput(), service.MaxOutput(), in.MaxTokens, in.MaxCompletionTokens),
		stream:       in.Stream,
		includeUsage: in.StreamOptions.IncludeUsage,
		chat:         chat,
		canResume:    r.Header.Get(resumeHeader) != "",
	}
	if j.promptTokens > model.MaxContext() && model.MaxContext() > 0 {
		return nil, mgproblem.New(mgproblem.TooLarge, mgproblem.NotRun,
			"the prompt is longer than the model's context", "send a shorter prompt")
	}
	timeout := service.Deadline()
	if timeout <= 0 {
		timeout = defaultDeadline
	}
	j.receivedAt = e.spec.Clock.Now()
	j.firstTokenDeadline = j.receivedAt + timeout
	return j, nil
}

// bodyProblem returns the problem for a body that can't be read or decoded. If a part of it wasn't received,
// the caller's connection ends with the answer.
func bodyProblem(w http.ResponseWriter, err error) *mgproblem.Problem {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		w.Header().Set("Connection", "close")
		return mgproblem.New(mgproblem.TooLarge, mgproblem.NotRun,
			"the body is larger than this entry takes", "send a shorter prompt")
	}
	problem := mgbody.Problem(err)
	if problem.Kind() != mgproblem.Invalid {
		w.Header().Set("Connection", "close")
		return problem
	}
	return invalid("the body is not the JSON of a request", "send an object with model and messages").WithCause(err)
}

// resolve returns the service for a request's model name: the generation service
// of that name or, if the name is a model's, the first of its services that the
// account may use.
func resolve(c caller, name string) (*mgtable.Service, *mgtable.Model, *mgproblem.Problem) {
	if service := c.table.Service(name); service != nil && service.Kind() == mgtable.Generation {
		if !c.account.AllowsService(name) {
			return nil, nil, forbidden(name)
		}
		return service, c.table.Model(service.Model()), nil
	}
	if model := c.table.Model(name); model != nil {
		for service := range c.table.Services() {
			if service.Model() == name && c.account.AllowsService(service.Name()) {
				return service, model, nil
			}
		}
		return nil, nil, forbidden(name)
	}
	return nil, nil, mgproblem.New(mgproblem.NotFound, mgproblem.NotRun,
		"no service or model has the name in model", "give a name that GET /v1/models lists")
}

func forbidden(name string) *mgproblem.Problem {
	return mgproblem.New(mgproblem.Forbidden, mgproblem.NotRun,
		"the client account may not use "+name, "ask the operators to add it to the account's services")
}

// minPositive returns the smallest positive bound, or 0 if there is none.
func minPositive(bounds ...int) int {
	smallest := 0
	for _, bound := range bounds {
		if bound > 0 && (smallest == 0 || bound < smallest) {
			smallest = bound
		}
	}
	return smallest
}

func parsePrompt(in body, chat bool) (string, *mgproblem.Problem) {
	if !chat {
		text, ok := parseText(in.Prompt)
		if !ok || text == "" {
			return "", invalid("prompt is missing or not a text", "send prompt as a string")
		}
		return text, nil
	}
	if len(in.Messages) == 0 {
		return "", invalid("messages is empty", "send at least one message with role and content")
	}
	var b strings.Builder
	for _, m := range in.Messages {
		text, ok := parseText(m.Content)
		if !ok {
			return "", invalid("a message's content is not text", "send content as a string or as parts of type text")
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(text)
		b.WriteByte('\n')
	}
	return b.String(), nil
}

// parseText decodes a string, a list of parts of type text or a list of one
// string.
func parseText(raw json.RawMessage) (string, bool) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, true
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) == nil {
		var b strings.Builder
		for _, part := range parts {
			if part.Type != "text" {
				return "", false
			}
			b.WriteString(part.Text)
		}
		return b.String(), true
	}
	var list []string
	if json.Unmarshal(raw, &list) == nil && len(list) == 1 {
		return list[0], true
	}
	return "", false
}
