package mgclient

import (
	"context"
	"encoding/json"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Complete asks for one answer and passes each of its tokens to each, once and
// in order. Each may be nil; its error ends the answer. With an error, the
// Answer holds what came before it.
func (c *Client) Complete(ctx context.Context, request Request, each func(Token) error) (Answer, error) {
	if problem := c.checkReady(); problem != nil {
		return Answer{}, problem
	}
	request.Stream = true
	data, err := json.Marshal(request)
	if err != nil {
		return Answer{}, mgproblem.New(mgproblem.Invalid, mgproblem.NotRun,
			"the request can't be written as JSON", "check its text").WithCause(err)
	}
	s := session{
		client:  c,
		data:    data,
		onToken: each,
	}
	err = s.run(ctx)
	s.answer.text = s.text.String()
	return s.answer, err
}

// Resume goes on with an answer from the token after the last one that the
// caller has. The Answer holds only the tokens from there on.
func (c *Client) Resume(ctx context.Context, answer string, last uint64, each func(Token) error) (Answer, error) {
	if problem := c.checkReady(); problem != nil {
		return Answer{}, problem
	}
	s := session{
		client:  c,
		onToken: each,
		answer: Answer{
			name:   answer,
			tokens: last,
		},
		isNameSettled: true,
	}
	err := s.run(ctx)
	s.answer.text = s.text.String()
	return s.answer, err
}
