package mgorigin

// An Origin is what produced the first event of a stream. The zero Origin is that of a stream
// without events, which any upstream may begin.
type Origin struct {
	Service string
	Version string // software version, "" if unknown
}

// Accepts reports whether an upstream of a service, with a software version, may produce the
// next events of the stream. An unknown version equals no other.
func (o Origin) Accepts(service, version string) bool {
	if o == (Origin{}) {
		return true
	}
	return o.Version != "" && o.Version == version && o.Service == service
}
