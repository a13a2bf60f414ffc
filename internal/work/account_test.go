package work

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAccountsThatIdentifyNobodyAreRejected(t *testing.T) {
	good := Account{Name: "a", Keys: []string{"k"}, Weight: 1}
	for name, as := range map[string][]Account{
		"no name":          {{Weight: 1}},
		"no weight":        {{Name: "a"}},
		"negative weight":  {{Name: "a", Weight: -1}},
		"not a number":     {{Name: "a", Weight: math.NaN()}},
		"negative limit":   {{Name: "a", Weight: 1, Limit: Size{Mem: -1}}},
		"empty key":        {{Name: "a", Weight: 1, Keys: []string{""}}},
		"same name":        {good, good},
		"key of two":       {good, {Name: "b", Keys: []string{"k"}, Weight: 1}},
		"key of two later": {good, {Name: "b", Keys: []string{"x", "k"}, Weight: 1}},
	} {
		c := Config{}
		assert.Assert(t, c.SetAccounts(as) != nil, name)
		assert.Assert(t, !c.HasAccounts(), "%s: accounts are in force all the same", name)
	}
}

func TestKeyIdentifiesItsAccount(t *testing.T) {
	c := Config{}
	assert.Assert(t, !c.HasAccounts())
	assert.NilError(t, c.SetAccounts([]Account{{Name: "a", Keys: []string{"k", "k"}, Weight: 1}, {Name: "b", Keys: []string{"l", "m"}, Weight: 2}}))
	assert.Equal(t, c.AccountOfKey("m").Name, "b")
	assert.Equal(t, c.AccountOfKey("k"), c.AccountNamed("a"))
	assert.Assert(t, c.AccountOfKey("") == nil && c.AccountOfKey("K") == nil)
	none := Config{}
	assert.NilError(t, none.SetAccounts(nil))
	assert.Assert(t, none.HasAccounts(), "without any account every key is unknown")
}

// BenchmarkAccountOfKey measures what checking a key costs an entry.
func BenchmarkAccountOfKey(b *testing.B) {
	var as []Account
	for i := range 190 {
		as = append(as, Account{Name: fmt.Sprint(i), Keys: []string{fmt.Sprintf("%020d", i), fmt.Sprintf("%020d", i+1000)}, Weight: 1})
	}
	c := Config{}
	assert.NilError(b, c.SetAccounts(as))
	b.ReportAllocs()
	for b.Loop() {
		if c.AccountOfKey("00000000000000001100") == nil {
			b.Fatal("not found")
		}
	}
}
