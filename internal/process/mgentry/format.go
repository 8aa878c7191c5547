package mgentry

import (
	"encoding/json"
	"strings"

	"github.com/marjoramgauge/marjoramgauge/internal/request/mganswer"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgclock"
	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// answerFormat writes one answer in the format of OpenAI's API.
type answerFormat struct {
	entry            *Entry
	account          string
	model            string
	chat             bool
	includeUsage     bool
	promptTokens     int
	created          int64 // Unix time in seconds
	receivedAt       mgclock.Millis
	awaitsFirstToken bool   // whose delay is measured from receivedAt
	answer           string // name of the answer
	eventPrefix      []byte // JSON that precedes a token's text in each event
	buf              []byte
	// lastDelivered is the number of the last token that was delivered.
	lastDelivered uint64
}

func (e *Entry) newFormat(j *job) *answerFormat {
	return &answerFormat{
		entry:            e,
		account:          j.account.Name(),
		model:            j.service.Name(),
		chat:             j.chat,
		includeUsage:     j.includeUsage,
		promptTokens:     j.promptTokens,
		created:          mgclock.UnixSeconds(),
		receivedAt:       j.receivedAt,
		awaitsFirstToken: true,
	}
}

// setAnswer sets the answer's name, which is known once the first token has
// arrived.
func (f *answerFormat) setAnswer(attempt attempt) {
	if f.answer != "" {
		return
	}
	f.answer = f.entry.signAnswerName(f.account, attempt)
	f.eventPrefix = f.chunkPrefix()
}

// chunkPrefix returns the JSON with which the data of every event begins.
func (f *answerFormat) chunkPrefix() []byte {
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

// tokens returns the events for a delivery's tokens, one event per token. The
// returned slice is valid until the next call.
func (f *answerFormat) tokens(d delivery) []byte {
	f.setAnswer(d.attempt)
	f.buf = f.buf[:0]
	for i, text := range d.decision.Tokens() {
		f.appendEventID(d.decision.First() + uint64(i))
		f.buf = append(f.buf, f.eventPrefix...)
		f.buf = appendJSON(f.buf, text)
		if f.chat {
			f.buf = append(f.buf, '}')
		}
		f.buf = append(f.buf, `,"finish_reason":null}]}`...)
		f.buf = append(f.buf, "\n\n"...)
	}
	return f.buf
}

// appendJSON appends a string in JSON. Most tokens need no escapes.
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

func (f *answerFormat) appendEventID(seq uint64) {
	f.buf = append(f.buf, "id: "...)
	f.buf = append(f.buf, mganswer.FormatEventID(f.answer, seq)...)
	f.buf = append(f.buf, "\ndata: "...)
}

// finish returns the events that end a complete answer.
func (f *answerFormat) finish(d delivery) []byte {
	decision := d.decision
	f.setAnswer(d.attempt)
	f.buf = f.buf[:0]
	f.appendEventID(decision.Last())
	f.buf = append(f.buf, f.eventPrefix...)
	f.buf = append(f.buf, `""`...)
	if f.chat {
		f.buf = append(f.buf, '}')
	}
	f.buf = append(f.buf, `,"finish_reason":`...)
	end, _ := json.Marshal(decision.End())
	f.buf = append(f.buf, end...)
	f.buf = append(f.buf, "}]"...)
	f.buf = append(f.buf, f.extras(d)...)
	f.buf = append(f.buf, "}\n\ndata: [DONE]\n\n"...)
	return f.buf
}

// extras returns the usage and the fields that OpenAI's API doesn't have: the
// engine's name for the generation and the number of its preemptions.
func (f *answerFormat) extras(d delivery) []byte {
	last := d.decision.Last()
	extras, _ := json.Marshal(extras{
		Usage: usage{
			Prompt:     f.promptTokens,
			Completion: last,
			Total:      uint64(f.promptTokens) + last,
		},
		Generation: d.attempt.generation,
		Preempted:  d.preemptions,
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

// errorEvent returns the event that ends a stream early: the problem, with an
// error in the format of OpenAI's API.
func (f *answerFormat) errorEvent(p *mgproblem.Problem, delivered uint64) []byte {
	problem, _ := json.Marshal(p)
	extra, _ := json.Marshal(errorEventFields{
		Delivered: delivered,
	})
	f.buf = append(f.buf[:0], "event: error\ndata: "...)
	f.buf = append(f.buf, problem[:len(problem)-1]...)
	f.buf = append(f.buf, ',')
	f.buf = append(f.buf, extra[1:]...)
	f.buf = append(f.buf, "\n\n"...)
	return f.buf
}

// errorEventFields holds the fields of the error event that a problem lacks.
type errorEventFields struct {
	Delivered uint64 `json:"delivered"`
}

// completeJSON returns the JSON of an answer that is not streamed.
func (f *answerFormat) completeJSON(d delivery) []byte {
	f.setAnswer(d.attempt)
	text := strings.Join(d.decision.Tokens(), "")
	choice := map[string]any{
		"index":         0,
		"finish_reason": d.decision.End(),
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
	body = append(body[:len(body)-1], f.extras(d)...)
	return append(body, '}', '\n')
}
