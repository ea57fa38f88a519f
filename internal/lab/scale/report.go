package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

func (r Result) write(output io.Writer) {
	fmt.Fprintf(output, "\nmachine: %d processors, %s, load average %s at the start\n", r.CPUs, r.Go, r.Load)
	r.Overhead.write(output, "HTTP/1.1")
	r.Compressed.write(output, "HTTP/2")
	if r.Real != nil {
		r.Real.write(output)
	}
	for _, set := range r.Sizes {
		set.write(output)
	}
	fmt.Fprintf(output, "\nledger: one request needs %d exchanges of %.0f B together and %s of processor time without sockets\n",
		r.Ledger.Exchanges, r.Ledger.Bytes, r.Ledger.CPU)
	for _, fleet := range r.Fleets {
		fleet.write(output)
	}
	for _, sweep := range r.Sweeps {
		sweep.write(output)
	}
	writePoints(output, "\nthe leader of a cell of today's size, step by step", r.Alternatives)
	writePoints(output, "\nthe leader of cells of other sizes", r.CellSizes)
	r.Propagation.write(output)
	writeLosses(output, r.Losses)
	fmt.Fprintf(output, "\ntook %s, at most %.0f MB of memory\n", r.Took.Round(time.Millisecond), r.PeakMemory/1e6)
}

func (o Overhead) write(output io.Writer, protocol string) {
	fmt.Fprintf(output, "%s adds %.0f B to a request, %.0f B to an answer, and costs each side %s of processor time\n",
		protocol, o.RequestBytes, o.ResponseBytes, o.SideCPU)
}

func newTable(output io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
}

func (f FleetResult) write(output io.Writer) {
	fmt.Fprintf(output, "\n%d nodes in %d cells of %d keyed, %d pool servers, %d gateways, %d slices\n",
		f.Nodes, f.Cells, f.Shape.Keyed, f.Shape.Pool, f.Shape.Gateways, f.Shape.Slices)
	writeCosts(output, f.Costs)
	fmt.Fprintf(output, "%.1f gateways a cell own ledger slices; whole load report %.0f B; %s for %s of emulated time; heap %.1f MB; process's over charged processor time %.2f\n",
		f.LedgerOwners, f.LoadReportBytes, f.Took.Round(time.Millisecond), f.Emulated, float64(f.HeapBytes)/1e6, f.Collection)
}

// writeCosts writes a line for each role, with bytes by component.
func writeCosts(output io.Writer, costs []Cost) {
	table := newTable(output)
	fmt.Fprint(table, "role\tprocesses\tmsg/s\tsent B/s\trecv B/s\tcore %\twith HTTP %\t")
	for _, name := range componentNames[:partTick] {
		fmt.Fprintf(table, "%s B/s\t", name)
	}
	fmt.Fprintln(table)
	for _, each := range costs {
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%.0f\t%.0f\t%.3f\t%.3f\t",
			each.Role, each.Processes, each.Messages, each.Sent, each.Received, 100*each.Core, 100*each.CoreWithHTTP)
		for _, name := range componentNames[:partTick] {
			fmt.Fprintf(table, "%.0f\t", each.Parts[name])
		}
		fmt.Fprintln(table)
	}
	_ = table.Flush()
}

func (r RealCell) write(output io.Writer) {
	fmt.Fprintf(output, "\na cell of processes (load average %s): without callers\n", r.Load)
	writeReal(output, r.Idle)
	fmt.Fprintf(output, "with callers, %d operations a second wanted\n", realRate)
	writeReal(output, r.Loaded)
	fmt.Fprintln(output, "a simulated cell of the same shape")
	writeCosts(output, r.Simulated)
}

func writeReal(output io.Writer, costs []RealCost) {
	table := newTable(output)
	fmt.Fprintln(table, "part\tprocesses\trequests/s\tsent B/s\trecv B/s\tcore %\tresident MB\t")
	for _, each := range costs {
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%.0f\t%.0f\t%.2f\t%.1f\t\n",
			each.Part, each.Processes, each.Requests, each.Sent, each.Received, 100*each.Core, each.Resident/1e6)
	}
	_ = table.Flush()
}

func (s SizeSet) write(output io.Writer) {
	fmt.Fprintf(output, "\nstate of a cell with %d slices of its keyed service\n", s.Shape.Slices)
	table := newTable(output)
	fmt.Fprintln(table, "thing\tencoded B\theap B\t")
	for _, each := range s.Sizes {
		fmt.Fprintf(table, "%s\t%d\t%.0f\t\n", each.Thing, each.Encoded, each.Heap)
	}
	_ = table.Flush()
}

func (s Sweep) write(output io.Writer) {
	fmt.Fprintf(output, "\n%s\n", s.Quantity)
	table := newTable(output)
	fmt.Fprint(table, "value\tstate B\ttable B\t")
	for _, role := range roleOrder {
		fmt.Fprintf(table, "%s B/s\tcore %%\t", shortNames[role])
	}
	fmt.Fprintln(table)
	for _, point := range s.Points {
		fmt.Fprintf(table, "%s\t%d\t%d\t", point.Label, point.StateBytes, point.TableBytes)
		for _, role := range roleOrder {
			cost := find(point.Costs, role)
			fmt.Fprintf(table, "%.0f\t%.3f\t", cost.Bytes(), 100*cost.CoreWithHTTP)
		}
		fmt.Fprintln(table)
	}
	fmt.Fprint(table, "slope\t\t\t")
	for _, slope := range s.Slopes {
		fmt.Fprintf(table, "%.4g\t%.3g\t", slope.Bytes, 100*slope.CoreWithHTTP)
	}
	fmt.Fprintln(table)
	_ = table.Flush()
}

// shortNames head the columns of a sweep.
var shortNames = map[Role]string{
	RoleLeader: "leader", RoleFollower: "follower", RoleSource: "source", RoleStandby: "standby",
	RoleGateway: "gateway", RoleKeyed: "keyed", RolePool: "pool", RolePlatform: "platform",
}

func writePoints(output io.Writer, title string, points []Point) {
	fmt.Fprintln(output, title)
	table := newTable(output)
	fmt.Fprintln(table, "shape\tleader B/s\tconsensus\trenewal\tplatform\tcore %\tgateway B/s\tkeyed B/s\treport B\t")
	for _, each := range points {
		leader := find(each.Costs, RoleLeader)
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.0f\t%.0f\t%.0f\t\n",
			each.Label, leader.Bytes(), leader.Parts["consensus"], leader.Parts["renewal"], leader.Parts["platform"],
			100*leader.CoreWithHTTP, find(each.Costs, RoleGateway).Bytes(), find(each.Costs, RoleKeyed).Bytes(),
			each.LoadReportBytes)
	}
	_ = table.Flush()
}

func (p Propagation) write(output io.Writer) {
	fmt.Fprintf(output, "\na bundle, median and longest of %d runs: committed %s, in every gateway's table %s, in force %s\n",
		p.Runs, p.Committed, p.Tables, p.InForce)
}

// String writes the median and the longest, in milliseconds.
func (s Spread) String() string {
	return fmt.Sprintf("%d ms [%d]", s.Median.Milliseconds(), s.Longest.Milliseconds())
}

func writeLosses(output io.Writer, losses []Loss) {
	fmt.Fprintln(output, "\ntime until every slice is served again, median [longest] of the runs")
	table := newTable(output)
	fmt.Fprintln(table, "renewals\tgrants\tlost\truns\tat the first gateway\tat half of them\tat the last\t")
	for _, each := range losses {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t\n", each.RenewEvery, each.GrantTime, each.Lost, each.Runs, each.FirstGateway, each.MedianGateway, each.LastGateway)
	}
	_ = table.Flush()
}
