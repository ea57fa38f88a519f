package controller

import (
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/lab/memnet"
)

// transportFrom returns the HTTP client side of the process at an address.
func transportFrom(network *memnet.Network, address string) *http.Transport {
	return &http.Transport{
		DialContext:         network.Dialer(address, time.Second),
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
	}
}
