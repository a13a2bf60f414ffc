package server

import (
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

func seqKey(service string) table.Key { return table.Key{Table: seqTable, Part: service, Name: "seq"} }
