package proxy

// identify finds out which tenant the caller belongs to; false if the request was answered.
func (c *call) identify() bool { return true }
