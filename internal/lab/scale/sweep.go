package scale

import (
	"context"
	"strconv"
	"sync"
	"time"
)

// Point is one cell of a sweep.
type Point struct {
	Label string  `json:"label"`
	Value float64 `json:"value"`
	Shape Shape   `json:"shape"`
	// Costs of its roles.
	Costs []Cost `json:"costs"`
	// StateBytes and TableBytes are the encoded state and table snapshot.
	StateBytes int `json:"state_bytes"`
	TableBytes int `json:"table_bytes"`
	// LoadReportBytes is the mean whole load report of a keyed server.
	LoadReportBytes float64 `json:"load_report_bytes"`

	overhead Overhead
	// rolls is how many bundles are rolled in the window.
	rolls int
}

// Sweep changes one quantity of one cell.
type Sweep struct {
	// Quantity that changes, with its unit.
	Quantity string  `json:"quantity"`
	Points   []Point `json:"points"`
	Slopes   []Slope `json:"slopes"`
}

// Slope is the change of a role's cost with one more of the quantity, by least
// squares over the points.
type Slope struct {
	Role Role `json:"role"`
	// Bytes a second, sent and received.
	Bytes    float64 `json:"bytes_per_second"`
	Messages float64 `json:"messages_per_second"`
	// CoreWithHTTP is a share of a core.
	CoreWithHTTP float64 `json:"core_with_http"`
}

// sweeps are the quantities that the costs at the size of docs/CAPACITY.md are worked out from.
func sweeps(overhead Overhead) []Sweep {
	return []Sweep{
		sweepOf("keyed servers", []int{7, 14, 28, 56}, overhead, func(s *Shape, value int) { s.Keyed = value }),
		sweepOf("pool servers", []int{10, 20, 40, 80}, overhead, func(s *Shape, value int) { s.Pool = value }),
		sweepOf("slices", []int{56, 224, 896}, overhead, func(s *Shape, value int) { s.Slices = value }),
		sweepOf("machines (gateway and controller)", []int{34, 68, 136}, overhead, func(s *Shape, value int) {
			*s = s.withMachines(value)
		}),
		sweepOf("ledger gateways", []int{4, 16, 34}, overhead, func(s *Shape, value int) { s.LedgerGateways = value }),
		sweepOf("machines of the fleet", []int{100, 400, 1600, targetNodes}, overhead, func(s *Shape, value int) { s.Fleet = value }),
		sweepOf("configuration changes a day in the fleet", []int{0, 10 * targetChanges, 20 * targetChanges, 40 * targetChanges},
			overhead, func(s *Shape, value int) { s.FleetChanges = float64(value) }),
		rollSweep(overhead),
	}
}

// ownCell is a cell of today's size that hears nothing of other cells, so that
// slopes are not lost beside the terms of the fleet.
func ownCell() Shape {
	shape := defaultShape()
	shape.Fleet, shape.FleetChanges = shape.Machines, 0
	return shape
}

func sweepOf(quantity string, values []int, overhead Overhead, change func(*Shape, int)) Sweep {
	made := Sweep{Quantity: quantity}
	for _, value := range values {
		shape := ownCell()
		change(&shape, value)
		made.Points = append(made.Points, Point{
			Label: strconv.Itoa(value), Value: float64(value), Shape: shape, overhead: overhead,
		})
	}
	return made
}

// rollSweep rolls bundles of the cell itself; its slopes are per bundle a
// second.
func rollSweep(overhead Overhead) Sweep {
	made := Sweep{Quantity: "bundles a second in the cell"}
	for _, rolls := range []int{0, 3, 6} {
		shape := ownCell()
		shape.Still = true
		value := float64(rolls) / window.Seconds()
		made.Points = append(made.Points, Point{
			Label: strconv.FormatFloat(value, 'f', 1, 64), Value: value, Shape: shape, overhead: overhead, rolls: rolls,
		})
	}
	return made
}

// runSweeps runs all points side by side.
func runSweeps(ctx context.Context, all []Sweep, seed uint64) error {
	var points []*Point
	for i := range all {
		for j := range all[i].Points {
			points = append(points, &all[i].Points[j])
		}
	}
	if err := runPoints(ctx, points, seed); err != nil {
		return err
	}
	for i := range all {
		all[i].Slopes = slopesOf(all[i].Points)
	}
	return nil
}

func runPoints(ctx context.Context, points []*Point, seed uint64) error {
	return onThreads(ctx, len(points), func(number int) error { return points[number].run(seed) })
}

func (p *Point) run(seed uint64) error {
	c, err := newRunningCell(p.Shape, p.overhead, 0, seed)
	if err != nil {
		return err
	}
	c.resetAccounts()
	for roll := range p.rolls {
		c.After(time.Duration(roll)*window/time.Duration(p.rolls), c.roll)
	}
	c.Run(c.Now() + window)
	total := newTally()
	total.add(c)
	p.Costs = total.costs(window, p.overhead)
	p.StateBytes = len(encode(c.state()))
	p.TableBytes = len(encode(c.source.streams.latest.Snapshot()))
	p.LoadReportBytes = meanLoadReport([]*cell{c})
	return nil
}

// roll adopts the next version of the cell's bundle.
func (c *cell) roll() {
	c.bundle = c.makeBundle(c.bundle.Version + 1)
	if leader := c.leader(); leader != nil {
		leader.adopt(c.bundle)
	}
}

func slopesOf(points []Point) []Slope {
	var slopes []Slope
	for _, role := range roleOrder {
		slopes = append(slopes, Slope{
			Role:         role,
			Bytes:        slopeOf(points, func(p Point) float64 { return find(p.Costs, role).Bytes() }),
			Messages:     slopeOf(points, func(p Point) float64 { return find(p.Costs, role).Messages }),
			CoreWithHTTP: slopeOf(points, func(p Point) float64 { return find(p.Costs, role).CoreWithHTTP }),
		})
	}
	return slopes
}

// slopeOf is the slope of the least-squares line.
func slopeOf(points []Point, of func(Point) float64) float64 {
	count := float64(len(points))
	var meanX, meanY float64
	for _, each := range points {
		meanX += each.Value / count
		meanY += of(each) / count
	}
	var above, below float64
	for _, each := range points {
		above += (each.Value - meanX) * (of(each) - meanY)
		below += (each.Value - meanX) * (each.Value - meanX)
	}
	return above / below
}

// runTogether runs work once for each number and keeps the results in order.
func runTogether[Value any](ctx context.Context, count int, work func(number int) (Value, error)) ([]Value, error) {
	values := make([]Value, count)
	var mutex sync.Mutex
	err := onThreads(ctx, count, func(number int) error {
		value, err := work(number)
		mutex.Lock()
		defer mutex.Unlock()
		values[number] = value
		return err
	})
	return values, err
}
