package ownership_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/shalefork/shalefork/ownership"
)

// A booking is kept only while this server owns the table.
func Example() {
	bookings := http.HandlerFunc(func(writer http.ResponseWriter, httpRequest *http.Request) {
		request, _ := ownership.FromContext(httpRequest.Context())
		// Prepare: read, compute, wait. Nothing is kept yet.
		booking := "two seats at " + request.Key
		if err := request.Check(); err != nil {
			_ = request.NotRun(ownership.ReasonExpired)
			return
		}
		// Keep the effect at once, then answer.
		fmt.Fprintln(writer, booking)
	})
	owner := ownership.New(ownership.Options{Cell: "casablanca", Token: "token of the cell"})
	server := httptest.NewServer(owner.Wrap(bookings))
	defer server.Close()

	// No controller has granted anything yet, so nothing runs.
	asked, _ := http.NewRequest(http.MethodPost, server.URL+"/bookings", nil)
	asked.Header.Set("Shalefork-Token", "token of the cell")
	asked.Header.Set("Shalefork-Cell", "casablanca")
	asked.Header.Set("Shalefork-Service", "tawila/booking")
	asked.Header.Set("Shalefork-Slice", "tawila/booking/all/0000000000000000-ffffffffffffffff")
	asked.Header.Set("Shalefork-Fence", "1099511627783")
	asked.Header.Set("Shalefork-Bundle", "4")
	asked.Header.Set("Shalefork-Request-Id", "r-81")
	asked.Header.Set("Shalefork-Key", "riad-yasmina/table-4")
	answer, err := http.DefaultClient.Do(asked)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer answer.Body.Close()
	defer http.DefaultClient.CloseIdleConnections()
	fmt.Println(answer.StatusCode, answer.Header.Get("Shalefork-Outcome"), answer.Header.Get("Shalefork-Reason"))
	// Output: 503 not-run no-grant
}
