// Package mgbody receives the bodies of requests within the budget of their listener (see mgbudget).
//
// A Body takes the place of a request's body. Before it reads bytes it reserves them, all at once if their
// length is known, else as the body grows; what is refused remains unread.
package mgbody
