package mgentry

import (
	"encoding/json"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mganswer"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// form writes answers in the form of OpenAI's API. It lives for one answer.
type form struct {
	entry   *Entry
	account string
	model   string
	chat    bool
	usage   bool
	prompt  int   // tokens
	created int64 // Unix time in seconds
	came    mgclock.Millis
	waits   bool // for its first token, which is measured from came
	answer  string
	head    []byte // what stands before a token's text in each event
	out     []byte
	// delivered is the last token that the caller was given.
	delivered uint64
}

func (e *Entry) form(j *job) *form {
	return &form{
		entry:   e,
		account: j.account.Name(),
		model:   j.service.Name(),
		chat:    j.chat,
		usage:   j.usage,
		prompt:  j.tokens,
		created: mgclock.Unix(),
		came:    j.came,
		waits:   true,
	}
}

// begin fixes the answer's name, which is known once a token has come.
func (f *form) begin(made attempt) {
	if f.answer != "" {
		return
	}
	f.answer = f.entry.name(f.account, made)
	f.head = f.chunkHead()
}

// chunkHead returns the part of an event that is the same for all tokens.
func (f *form) chunkHead() []byte {
	object, open := "text_completion", `"text":`
	if f.chat {
		object, open = "chat.completion.chunk", `"delta":{"content":`
	}
	model, _ := json.Marshal(f.model)
	head, _ := json.Marshal(struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
	}{
		ID:      f.answer,
		Object:  object,
		Created: f.created,
	})
	head = append(head[:len(head)-1], `,"model":`...)
	head = append(head, model...)
	return append(head, `,"choices":[{"index":0,`+open...)
}

// tokens returns the events that deliver a turn's tokens, one a token; they
// are valid until the next call.
func (f *form) tokens(t turn) []byte {
	f.begin(t.attempt)
	f.out = f.out[:0]
	for i, text := range t.decision.Tokens() {
		f.event(t.decision.First() + uint64(i))
		f.out = append(f.out, f.head...)
		f.out = appendJSON(f.out, text)
		if f.chat {
			f.out = append(f.out, '}')
		}
		f.out = append(f.out, `,"finish_reason":null}]}`...)
		f.out = append(f.out, "\n\n"...)
	}
	return f.out
}

// appendJSON appends a text in JSON. Most tokens need no escapes.
func appendJSON(dst []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			escaped, _ := json.Marshal(text)
			return append(dst, escaped...)
		}
	}
	dst = append(dst, '"')
	dst = append(dst, text...)
	return append(dst, '"')
}

func (f *form) event(seq uint64) {
	f.out = append(f.out, "id: "...)
	f.out = append(f.out, mganswer.FormatEventID(f.answer, seq)...)
	f.out = append(f.out, "\ndata: "...)
}

// finish returns the events that end a whole answer.
func (f *form) finish(t turn) []byte {
	d := t.decision
	f.begin(t.attempt)
	f.out = f.out[:0]
	f.event(d.Last())
	f.out = append(f.out, f.head...)
	f.out = append(f.out, `""`...)
	if f.chat {
		f.out = append(f.out, '}')
	}
	f.out = append(f.out, `,"finish_reason":`...)
	end, _ := json.Marshal(d.End())
	f.out = append(f.out, end...)
	f.out = append(f.out, "}]"...)
	f.out = append(f.out, f.extras(t)...)
	f.out = append(f.out, "}\n\ndata: [DONE]\n\n"...)
	return f.out
}

// extras returns the usage and what this system adds: the generation's name
// at its engine and how often it was preempted.
func (f *form) extras(t turn) []byte {
	last := t.decision.Last()
	extras, _ := json.Marshal(extras{
		Usage: usage{
			Prompt:     f.prompt,
			Completion: last,
			Total:      uint64(f.prompt) + last,
		},
		Generation: t.attempt.generation,
		Preempted:  t.evicted,
	})
	return append([]byte{','}, extras[1:len(extras)-1]...)
}

type usage struct {
	Prompt     int    `json:"prompt_tokens"`
	Completion uint64 `json:"completion_tokens"`
	Total      uint64 `json:"total_tokens"`
}

type extras struct {
	Usage      usage  `json:"usage"`
	Generation string `json:"generation"`
	Preempted  uint32 `json:"preempted"`
}

// fault returns the event that tells a caller of a stream why it ends early:
// the problem, with an error in the form of OpenAI's API.
func (f *form) fault(p *mgproblem.Problem, delivered uint64) []byte {
	problem, _ := json.Marshal(p)
	extra, _ := json.Marshal(faultExtra{
		Delivered: delivered,
	})
	f.out = append(f.out[:0], "event: error\ndata: "...)
	f.out = append(f.out, problem[:len(problem)-1]...)
	f.out = append(f.out, ',')
	f.out = append(f.out, extra[1:]...)
	f.out = append(f.out, "\n\n"...)
	return f.out
}

// faultExtra is what a stream's last event says besides its problem.
type faultExtra struct {
	Delivered uint64 `json:"delivered"`
}

// whole returns the JSON of an answer in one piece.
func (f *form) whole(t turn) []byte {
	f.begin(t.attempt)
	text := strings.Join(t.decision.Tokens(), "")
	choice := map[string]any{
		"index":         0,
		"finish_reason": t.decision.End(),
	}
	object := "text_completion"
	if f.chat {
		object = "chat.completion"
		choice["message"] = map[string]string{
			"role":    "assistant",
			"content": text,
		}
	} else {
		choice["text"] = text
	}
	body, _ := json.Marshal(map[string]any{
		"id":      f.answer,
		"object":  object,
		"created": f.created,
		"model":   f.model,
		"choices": []any{choice},
	})
	body = append(body[:len(body)-1], f.extras(t)...)
	return append(body, '}', '\n')
}
