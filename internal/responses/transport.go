package responses

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// NewClient returns a client that checks the responses of a transport. It follows no redirects: what stands
// elsewhere is no response of the peer that was asked.
func NewClient(base *http.Transport) *http.Client {
	return &http.Client{
		Transport:     &Transport{Base: base},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Transport checks the responses that an http.Transport receives. It implements http.RoundTripper.
type Transport struct {
	Base *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var got httptrace.GotConnInfo
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { got = info },
		Got1xxResponse: checkInterim,
	})
	r, err := t.Base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(r); err != nil {
		_ = got.Conn.Close()
		_ = r.Body.Close()
		return nil, err
	}
	r.Body = WrapBody(r)
	return r, nil
}

// checkInterim is Check for an interim response, of which httptrace tells no more.
func checkInterim(code int, header textproto.MIMEHeader) error {
	return Check(&http.Response{ProtoMajor: 1, ProtoMinor: 1, StatusCode: code, Header: http.Header(header)})
}

// CloseIdleConnections closes connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }
