package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"text/tabwriter"

	"jasminestep/internal/server"
	"jasminestep/internal/shard"
)

type explainCommand struct {
	Args struct {
		ID    string   `positional-arg-name:"ID" required:"true"`
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// logLine is one line of an entry's log.
type logLine struct {
	At      string      `json:"@timestamp"`
	Event   shard.Event `json:"@message"`
	Job     string      `json:"job"`
	Task    string      `json:"task"`
	Attempt int         `json:"attempt"`
	Minion  string      `json:"minion"`
	Service string      `json:"service"`
	Term    int64       `json:"term"`
	Why     string      `json:"why"`
	source  string
}

// Execute prints the log lines of all entries about a job, ordered by time, and
// those about its owner and its minions during the same period, then what these
// events mean.
func (c *explainCommand) Execute([]string) error {
	var all []logLine
	files := c.Args.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, f := range files {
		ls, err := readLog(f)
		if err != nil {
			return err
		}
		all = append(all, ls...)
	}
	lines := jobLines(all, c.Args.ID)
	if len(lines) == 0 {
		return fmt.Errorf("explain: no log line mentions job %s", c.Args.ID)
	}
	if err := printLines(os.Stdout, lines); err != nil {
		return err
	}
	fmt.Println()
	return printMeanings(os.Stdout, lines)
}

func printLines(out io.Writer, lines []logLine) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", l.At, l.source, l.Event, strings.TrimPrefix(l.Task, l.Job), l.Minion, l.Why)
	}
	return w.Flush()
}

// printMeanings prints, for each event among the lines, what it means and what
// to look at.
func printMeanings(out io.Writer, lines []logLine) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printed := map[shard.Event]bool{}
	for _, l := range lines {
		e, ok := server.FindLogEvent(l.Event)
		if !ok || printed[l.Event] {
			continue
		}
		printed[l.Event] = true
		fmt.Fprintf(w, "%s:\t%s\n", e.Name, e.Doc)
		if e.Look != "" {
			fmt.Fprintf(w, "\tlook at: %s\n", e.Look)
		}
	}
	return w.Flush()
}

func readLog(file string) ([]logLine, error) {
	r := io.Reader(os.Stdin)
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	var out []logLine
	seen := map[logLine]bool{}
	s := bufio.NewScanner(r)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		text := s.Text()
		i := strings.IndexByte(text, '{') // log collectors prefix the line with a time and a name
		if i < 0 {
			continue
		}
		source := file
		if f := strings.Fields(text[:i]); len(f) > 0 {
			source = f[len(f)-1]
		}
		for _, l := range decodeLines([]byte(text[i:]), source) {
			k := l.key()
			if seen[k] {
				continue
			}
			if server.IsRare(string(l.Event)) {
				seen[k] = true
			}
			out = append(out, l.splitTasks()...)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("explain: read %s: %w", file, err)
	}
	return out, nil
}

// decodeLines decodes a line, or the lines that it repeats. Lines that were not
// written by jasminestep are left out.
func decodeLines(text []byte, source string) []logLine {
	l := logLine{source: source}
	if json.Unmarshal(text, &l) != nil {
		return nil
	}
	if l.Event != "earlier lines" {
		return []logLine{l}
	}
	var earlier struct {
		Lines []json.RawMessage `json:"lines"`
	}
	if json.Unmarshal(text, &earlier) != nil {
		return nil
	}
	var out []logLine
	for _, t := range earlier.Lines {
		out = append(out, decodeLines(t, source)...)
	}
	return out
}

// key returns what a line and its repetitions have in common, also if they are
// shortened.
func (l logLine) key() logLine {
	l.Task, _, _ = strings.Cut(l.Task, ",")
	l.Minion, _, _ = strings.Cut(l.Minion, ",")
	l.Why = ""
	return l
}

// splitTasks splits a line about several tasks into one line for each task.
func (l logLine) splitTasks() []logLine {
	tasks, minions := strings.Split(l.Task, ","), strings.Split(l.Minion, ",")
	if len(tasks) == 1 || len(tasks) != len(minions) {
		return []logLine{l}
	}
	out := make([]logLine, len(tasks))
	for i := range tasks {
		out[i] = l
		out[i].Task, out[i].Minion = tasks[i], minions[i]
	}
	return out
}

// relatedEvents are the events of owners and minions that can explain a delay of
// a job.
var relatedEvents = map[shard.Event]bool{
	"shard claimed": true, "owner deposed": true, "shard loaded": true, "shard handed over": true, "shard write failed": true,
	shard.MinionSilent: true, shard.MinionAnswers: true, shard.MinionRestarted: true, shard.MinionPaused: true,
	shard.MinionDraining: true, shard.MinionForgotten: true,
}

// jobLines selects the lines of a job and, between its first and last line,
// those about its owner and about minions that it was placed on.
func jobLines(all []logLine, id string) []logLine {
	sort.SliceStable(all, func(a, b int) bool { return all[a].At < all[b].At })
	minions := map[string]bool{}
	service, first, last := "", "", ""
	for _, l := range all {
		if l.Job != id {
			continue
		}
		if first == "" {
			first = l.At
		}
		last = l.At
		minions[l.Minion] = true
		if l.Service != "" {
			service = l.Service
		}
	}
	delete(minions, "")
	var out []logLine
	for _, l := range all {
		during := first != "" && l.At >= first && l.At <= last
		related := relatedEvents[l.Event] && l.Job == "" && (minions[l.Minion] || l.Minion == "" && l.Service == service)
		if l.Job == id || during && related {
			out = append(out, l)
		}
	}
	return out
}
