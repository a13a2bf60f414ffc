package server

import (
	"testing"

	"gotest.tools/v3/assert"

	"jasminestep/internal/table"
)

// sizedRows returns n rows of a size in bytes.
func sizedRows(n, size int) (rows []table.Row) {
	for range n {
		rows = append(rows, table.Row{Value: make([]byte, size)})
	}
	return rows
}

// Guards against LOST: the progress of several wide jobs exceeded what the store takes in
// one transaction, which the owner repeated for ever.
func TestTransactionsStayBelowTheLimitsOfTheStore(t *testing.T) {
	const maxStoreCall = 1 << 20 // bytes
	for _, size := range []int{0, 100, 10_000, maxRowBytes} {
		rows := sizedRows(200, size)
		for len(rows) > 0 {
			n := fitting(rows)
			assert.Assert(t, n > 0 && n <= maxRowsPerTx)
			assert.Assert(t, n*size*4/3 < maxStoreCall*9/10, "%d rows of %d bytes", n, size)
			rows = rows[n:]
		}
	}
	assert.Equal(t, fitting(sizedRows(1, 2*maxTxBytes)), 1)
	assert.Equal(t, fitting(nil), 0)
}
