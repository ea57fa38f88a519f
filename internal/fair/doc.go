// Package fair decides which tenants yield and whose requests are refused when a service can't serve
// its whole demand: max-min fair sharing by weight within a priority, based on each tenant's recent
// demand. It reads no clock (each event carries its time) and communicates with no other process:
// each router decides by its own observations.
package fair
