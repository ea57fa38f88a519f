package pipeline

import "errors"

// CloseWrite closes the connection for writing.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets what happens to unsent data when the connection is closed, like
// net.TCPConn.SetLinger.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}
