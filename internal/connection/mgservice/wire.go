package mgservice

// CallSpec describes one call of a service.
type CallSpec struct {
	Method    string
	Path      string // with its query
	Mime      string
	Body      []byte
	Operation string // idempotency key, empty for calls that may be repeated
}

// Reply is a service's response.
type Reply struct {
	Status int
	Mime   string
	Body   []byte
}
