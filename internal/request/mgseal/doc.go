// Package mgseal makes signed names that only their owner can use. A name's
// content is not encrypted.
//
// A signed name is a list of fields with an authentication tag over the fields,
// the kind of the name and its owner (Krawczyk, Bellare, Canetti 1997, RFC
// 2104). Its text is base64url (Josefsson 2006, RFC 4648) without padding, so
// that it fits into a URL, a header and an SSE ID, and has only one form.
package mgseal
