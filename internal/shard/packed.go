package shard

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
)

// The progress of a wide job, or of one with many occurrences, would outgrow a row of the
// store: a placed task takes some 50 bytes. Progress that is larger than a limit is
// packed: its tasks refer to their minions by number, and the whole is compressed. A
// task takes 2 or 3 bytes then.

// Limits of the progress of one job.
const (
	maxPlainBytes    = 40 << 10 // of JSON, above which it is packed
	maxUnpackedBytes = 16 << 20 // of JSON, which no job of legal size exceeds
)

// packedProgress is the encoding of a packed row.
type packedProgress struct {
	Packed []byte `json:"z"` // compressed JSON of progress
}

// encode returns the value of the row.
func (p *progress) encode() ([]byte, error) {
	b, err := json.Marshal(p)
	if err != nil || len(b) <= maxPlainBytes {
		return b, err
	}
	p.numberMinions()
	if b, err = json.Marshal(p); err != nil {
		return nil, err
	}
	var z bytes.Buffer
	w, err := flate.NewWriter(&z, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if _, err = w.Write(b); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err = w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return json.Marshal(packedProgress{z.Bytes()})
}

// decodeProgress is the reverse of encode.
func decodeProgress(row []byte) (p progress, err error) {
	var in struct {
		progress
		packedProgress
	}
	if err = json.Unmarshal(row, &in); err != nil || len(in.Packed) == 0 {
		return in.progress, err
	}
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(in.Packed)), maxUnpackedBytes))
	if err != nil {
		return p, fmt.Errorf("decompress: %w", err)
	}
	if err = json.Unmarshal(b, &p); err != nil {
		return p, err
	}
	return p, p.nameMinions()
}

// eachTask calls f for each task.
func (p *progress) eachTask(f func(t *savedTask)) {
	for _, r := range p.Rounds {
		for _, ts := range r.Steps {
			for i := range ts {
				f(&ts[i])
			}
		}
	}
}

// numberMinions replaces the minions of tasks by their places in a list.
func (p *progress) numberMinions() {
	places := map[savedMinion]int{}
	p.eachTask(func(t *savedTask) {
		if t.Minion == "" {
			return
		}
		l := savedMinion{t.Minion, t.Born}
		if places[l] == 0 {
			p.Minions = append(p.Minions, l)
			places[l] = len(p.Minions)
		}
		t.Minion, t.Born, t.Place = "", 0, places[l]
	})
}

// nameMinions is the reverse of numberMinions.
func (p *progress) nameMinions() (err error) {
	p.eachTask(func(t *savedTask) {
		switch {
		case t.Place == 0:
		case t.Place < 0 || t.Place > len(p.Minions):
			err = fmt.Errorf("minion %d of %d", t.Place, len(p.Minions))
		default:
			l := p.Minions[t.Place-1]
			t.Minion, t.Born, t.Place = l.ID, l.Born, 0
		}
	})
	return err
}
