package server

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"jasminestep/internal/table"
)

// Tables written by entries.
const (
	entryTable   = "entry" // rows of entries, and in the part of each service its owner row
	seqTable     = "seq"
	jobTable     = "job"
	outcomeTable = "outcome" // outcomes of archived jobs, in the parts of jobTable
)

// jobParts is the number of parts of jobTable and outcomeTable.
const jobParts = 64

// partName names a part of jobTable and outcomeTable.
func partName(i int) string { return "p" + strconv.Itoa(i) }

func jobKey(name string) table.Key {
	id, _, _ := strings.Cut(name, ".")
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never returns an error
	return table.Key{Table: jobTable, Part: partName(int(h.Sum32() % jobParts)), Name: name}
}

// cancelSuffix ends the name of the row that records a job's cancellation.
const cancelSuffix = ".cancel"

func outcomeKey(id string) table.Key {
	k := jobKey(id)
	k.Table = outcomeTable
	return k
}

func ownerKey(service string) table.Key {
	return table.Key{Table: entryTable, Part: service, Name: "owner"}
}

// seqRow is the stored row of the last write of a shard's owner.
type seqRow struct {
	Write   string `json:"w"`           // names the write
	Promise int64  `json:"p"`           // by when all leases have ended that owners send until the next write, on the store's clock in ms; 0: unknown
	Called  bool   `json:"c,omitempty"` // the record of called incarnations is complete

	version int64 // of the row in the store; 0 if there is none
}

// decodeSeqRow decodes the row of a write. Former versions wrote the name alone.
func decodeSeqRow(r table.Row) seqRow {
	out := seqRow{}
	if json.Unmarshal(r.Value, &out) != nil {
		out = seqRow{Write: string(r.Value)}
	}
	out.version = r.Version
	return out
}

// row encodes the row.
func (q seqRow) row(service string) (table.Row, error) {
	b, err := json.Marshal(q)
	if err != nil {
		return table.Row{}, fmt.Errorf("encode seq row: %w", err)
	}
	return table.Row{Key: seqKey(service), Value: b}, nil
}

func seqKey(service string) table.Key { return table.Key{Table: seqTable, Part: service, Name: "seq"} }
