package demo

import (
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/shalefork/shalefork/internal/bundle"
)

const host = "127.0.0.1"

// Offsets of ports from the base port. The example's back ends are written for
// exampleBasePort.
const (
	platformPort    = 0
	collectorPort   = 1
	controllerPort  = 10
	gatewayPort     = 20
	gatewayPeerPort = 30
	portCount       = 300

	exampleBasePort = 19000
)

func (c Config) address(offset int) string {
	return net.JoinHostPort(host, strconv.Itoa(c.BasePort+offset))
}

func (c Config) addresses(offset, count int) []string {
	addresses := make([]string, 0, count)
	for index := range count {
		addresses = append(addresses, c.address(offset+index))
	}
	return addresses
}

// rebase moves the back ends of an example to this demonstration's ports.
func (c Config) rebase(example *bundle.Bundle) error {
	for serviceIndex := range example.Services {
		backends := example.Services[serviceIndex].Backends
		for index := range backends {
			moved, err := c.rebased(backends[index].Address)
			if err != nil {
				return err
			}
			backends[index].Address = moved
		}
	}
	return nil
}

func (c Config) rebased(address string) (string, error) {
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", Error.Wrap(err)
	}
	port, err := strconv.Atoi(text)
	offset := port - exampleBasePort
	if err != nil || offset < 0 || offset >= portCount {
		return "", Error.New("the example's back end %s is not in the ports from %d", address, exampleBasePort)
	}
	return c.address(offset), nil
}

// checkFree returns an error that names every address that is in use.
func checkFree(addresses []string) error {
	var used []string
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			used = append(used, address)
			continue
		}
		_ = listener.Close()
	}
	if len(used) == 0 {
		return nil
	}
	return Error.New("%s; choose another --base-port: in use are %s", count(len(used), "port"), strings.Join(used, ", "))
}

func count(number int, thing string) string {
	if number == 1 {
		return fmt.Sprintf("1 %s is not free", thing)
	}
	return fmt.Sprintf("%d %ss are not free", number, thing)
}
