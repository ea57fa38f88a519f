// Package lease is the server's side of a grant set: what the server holds,
// until when, and which work it may start and keep.
//
// Holder is a pure state machine. It opens no socket, reads no clock and
// starts no goroutine; every event carries its instant.
//
// Why it is safe. A grant set ends at Reading + Duration on the server's own
// clock. The server took Reading before the leader checked its leadership
// lease, so a message that was delayed, or sent by a leader that was paused,
// cannot extend a set past one Duration after an instant at which its sender
// was the leader. The highest (generation, term, set) is remembered for the
// life of the process, so an older leader or an older set never comes back,
// also after all grants have ended.
package lease
