package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"jasminestep/internal/book"
	"jasminestep/internal/entry"
	"jasminestep/internal/timeline"
)

type eventsCommand struct {
	remote
	About  string `long:"about" description:"show only events about this job, task, request, minion, worker or VM"`
	Kind   string `long:"kind" description:"show only events of this kind"`
	Follow bool   `long:"follow" description:"keep printing new events"`
	JSON   bool   `long:"json" description:"print one JSON object per line"`
}

// Execute prints the merged timeline of all entries.
func (c *eventsCommand) Execute([]string) error {
	shown := map[string]int64{} // last printed event number by VM
	for {
		var all []timeline.Event
		if err := c.call(http.MethodGet, "/events", "", nil, &all); err != nil {
			return err
		}
		for _, e := range all {
			if e.N <= shown[e.VM] {
				continue
			}
			shown[e.VM] = e.N
			if c.About != "" && !timeline.About(e, c.About) || c.Kind != "" && e.Kind != c.Kind {
				continue
			}
			if err := c.print(e); err != nil {
				return err
			}
		}
		if !c.Follow {
			return nil
		}
		time.Sleep(time.Second)
	}
}

func (c *eventsCommand) print(e timeline.Event) error {
	if c.JSON {
		b, err := json.Marshal(e)
		if err != nil {
			return fmt.Errorf("encode event: %w", err)
		}
		fmt.Println(string(b))
		return nil
	}
	cause := ""
	if e.Seq != 0 {
		cause = fmt.Sprintf("%s/%d/%d", e.Zone, e.Epoch, e.Seq)
	}
	fmt.Printf("%s  %-20s %-8s %-32s %-18s %s\n", time.UnixMilli(e.At).Format("15:04:05.000"), e.VM, e.Kind, e.Who, cause, e.Why)
	return nil
}

type topCommand struct {
	remote
	JSON bool `long:"json" description:"print the state once, as JSON"`
	Once bool `long:"once" description:"print the state once, without clearing the terminal"`
}

// Execute prints the live state of all entries, every second unless it is asked
// for once.
func (c *topCommand) Execute([]string) error {
	for {
		var all []entry.Top
		if err := c.call(http.MethodGet, "/top", "", nil, &all); err != nil {
			return err
		}
		slices.SortFunc(all, func(a, b entry.Top) int { return cmp.Compare(a.VM, b.VM) })
		if c.JSON {
			return printJSON(all)
		}
		if !c.Once {
			fmt.Print("\033[H\033[2J")
		}
		if err := printTop(all); err != nil || c.Once {
			return err
		}
		time.Sleep(time.Second)
	}
}

func printTop(all []entry.Top) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENTRY\tOWNER\tEPOCH\tROW\tCONFIG\tQUEUED\tRUNNING\tPOOLS (free/slots, waiting)\tSILENT")
	for _, t := range all {
		pools := ""
		for _, p := range slices.Sorted(maps.Keys(t.Pools)) {
			l := t.Pools[p]
			pools += fmt.Sprintf("%s %d/%d, %d  ", p, l.Free, l.Slots, l.Queue)
		}
		silent := ""
		for _, id := range slices.Sorted(maps.Keys(t.Peers)) {
			if t.Peers[id] != "alive" {
				silent += id + " " + t.Peers[id] + "  "
			}
		}
		mark := ""
		if t.Owner == t.VM {
			mark = "*"
		}
		fmt.Fprintf(w, "%s%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", t.VM, mark, t.Owner, t.Epoch, t.Seq, t.Version,
			t.Tasks[book.Queued], t.Tasks[book.Running]+t.Tasks[book.Starting]+t.Tasks[book.Stopping], pools, silent)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "ZONE\tMEMBER\tQUEUED\tRUNNING\tCORES\tMEMORY\tACCELERATORS")
	for _, t := range all {
		if t.Owner != t.VM {
			continue // followers hold replicas of the owner's state
		}
		for _, m := range slices.Sorted(maps.Keys(t.Members)) {
			x := t.Members[m]
			if x.Queued+x.Running > 0 {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f\t%d MiB\t%d\n", t.Zone, m, x.Queued, x.Running, float64(x.Size.CPU)/1000, x.Size.Memory, x.Size.Accel)
			}
		}
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "ZONE\tWORKERS\tIN USE\tQUARANTINED")
	for _, t := range all {
		if t.Owner != t.VM {
			continue
		}
		used := 0
		for _, n := range t.Workers {
			if n > 0 {
				used++
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", t.Zone, len(t.Workers), used, strings.Join(slices.Sorted(maps.Keys(t.Holds)), " "))
	}
	return w.Flush()
}
