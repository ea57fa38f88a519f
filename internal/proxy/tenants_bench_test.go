package proxy

import (
	"net/http/httptest"
	"testing"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/tenant"
)

// BenchmarkIdentity measures the cost of identifying a request's tenant; BenchmarkRequest measures
// that of a whole request.
func BenchmarkIdentity(b *testing.B) {
	config := &routing.Config{Tenants: map[routing.TenantName]*routing.Tenant{"a": {Name: "a", Keys: []routing.KeyDigest{tenant.Digest(keyOfA)}}}}
	for name, keys := range map[string]*tenant.Index{"without tenants": nil, "with tenants": tenant.NewIndex(tenant.Secret{}, config, nil)} {
		b.Run(name, func(b *testing.B) {
			request := httptest.NewRequest("GET", "/safe/x", nil)
			for _, header := range []string{"X-Id", "X-Deadline", "Accept", "User-Agent", "X-One", "X-Two"} {
				request.Header.Set(header, "a value of some length")
			}
			c := &call{proxy: &Proxy{Headers: testHeaders}, route: &routing.Route{}, request: request, writer: httptest.NewRecorder()}
			authorization := []string{"Bearer " + keyOfA}
			b.ReportAllocs()
			for b.Loop() {
				request.Header[tenant.Header] = authorization
				if !c.identify(keys) {
					b.Fatal("not identified")
				}
			}
		})
	}
}
