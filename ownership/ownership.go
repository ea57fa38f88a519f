// Package ownership is what a server embeds to own keys exclusively: it takes
// grants from the controllers, keeps their expiry, and admits a request only
// under the exact fence and bundle version that it holds.
package ownership
