package mgclient

import (
	"context"
	"encoding/json"

	"github.com/marjoramgauge/marjoramgauge/pkg/mgproblem"
)

// Complete requests one answer and calls onToken with each of its tokens, once
// and in order. onToken may be nil; its error ends the answer. With an error, the
// Answer holds the tokens received before it.
func (c *Client) Complete(ctx context.Context, request Request, onToken func(Token) error) (Answer, error) {
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
		onToken: onToken,
	}
	err = s.run(ctx)
	s.answer.text = s.text.String()
	return s.answer, err
}

// Resume continues an answer after token lastSeq, the last one that the caller
// has. The text of the Answer holds only the tokens after it.
func (c *Client) Resume(ctx context.Context, answer string, lastSeq uint64, onToken func(Token) error) (Answer, error) {
	if problem := c.checkReady(); problem != nil {
		return Answer{}, problem
	}
	s := session{
		client:  c,
		onToken: onToken,
		answer: Answer{
			name:   answer,
			tokens: lastSeq,
		},
		isNameSettled: true,
	}
	err := s.run(ctx)
	s.answer.text = s.text.String()
	return s.answer, err
}
