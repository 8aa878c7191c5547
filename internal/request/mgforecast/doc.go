// Package mgforecast predicts when a service's engines will have capacity for a request that
// waits.
//
// # Problem
//
// At more load than the engines bear, requests that can't be served in time wait all the same:
// they are refused after three times as long as an answer may take to begin, or begin late and
// take the capacity from others that could have been on time.
//
// # Decision
//
// Capacity is counted in ms of one engine; see Cost. What is granted while requests wait is the
// rate at which the service serves; what arrives is the rate at which it is asked. A request
// starts once what goes before it is served. Requests that others may overtake have only the
// capacity that those who arrive later leave.
//
// The forecast is optimistic: it says that a request will be too late only if that holds by
// what is known now. A request that is kept can still be refused later.
package mgforecast
