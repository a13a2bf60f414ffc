package logline

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
)

// Limits on what is kept.
const (
	keptLines      = 200
	keptBytes      = 15 << 10 // collectors split longer lines than 16 KB
	keptLineBytes  = 600      // longer lines are shortened
	keptFieldBytes = 32       // shorter fields are not shortened
)

// kept holds the last lines of each message. The zero value is empty.
type kept struct {
	lines []keptLine
	bytes int
}

type keptLine struct {
	message string
	text    []byte
}

// add keeps a line. A line that is not a JSON object or cannot be shortened enough
// is left out.
func (k *kept) add(message string, b []byte) {
	text := shorten(bytes.TrimSpace(b))
	if text == nil {
		return
	}
	k.lines = append(k.lines, keptLine{message, text})
	k.bytes += len(text)
	for len(k.lines) > keptLines || k.bytes > keptBytes {
		k.evict()
	}
}

// evict removes the oldest line of the message that has the most lines, so that a
// frequent message does not displace the others.
func (k *kept) evict() {
	count := map[string]int{}
	most := ""
	for _, l := range k.lines {
		count[l.message]++
		if count[l.message] > count[most] {
			most = l.message
		}
	}
	i := slices.IndexFunc(k.lines, func(l keptLine) bool { return l.message == most })
	k.bytes -= len(k.lines[i].text)
	k.lines = slices.Delete(k.lines, i, i+1)
}

// join returns the lines, oldest first, separated by commas.
func (k *kept) join() []byte {
	texts := make([][]byte, len(k.lines))
	for i, l := range k.lines {
		texts[i] = l.text
	}
	return bytes.Join(texts, []byte(","))
}

// shorten returns a copy of a JSON object of at most keptLineBytes, or nil if that
// is impossible. It halves the longest of the strings until the object fits.
func shorten(b []byte) []byte {
	if !json.Valid(b) {
		return nil
	}
	if len(b) <= keptLineBytes {
		return bytes.Clone(b)
	}
	var fields map[string]any
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	if d.Decode(&fields) != nil {
		return nil
	}
	for len(b) > keptLineBytes {
		longest, length := "", keptFieldBytes
		for name, v := range fields {
			if s, ok := v.(string); ok && (len(s) > length || len(s) == length && name < longest) {
				longest, length = name, len(s)
			}
		}
		if longest == "" {
			return nil
		}
		s, _ := fields[longest].(string)
		fields[longest] = strings.ToValidUTF8(s[:length/2], "") + "…"
		var err error
		if b, err = json.Marshal(fields); err != nil {
			return nil
		}
	}
	return b
}
