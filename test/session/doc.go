// Package session holds tests of the whole system in virtual time: controllers,
// gateways and servers of one cell on a network in memory, with the platform's
// service beside them, callers as load, and faults.
//
// Each test plays one session. What servers ran and callers saw is checked with
// package history, and the session's course is compared with a golden file.
package session
