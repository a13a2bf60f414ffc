package loopback

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAddressesDifferAndAreUsable(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		a := Addr()
		assert.Check(t, !seen[a], a)
		seen[a] = true
	}
	l, err := net.Listen("tcp", Addr())
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
}

func TestProcessesHaveDifferentHosts(t *testing.T) {
	const maxPID = 1<<22 - 1
	seen := map[string]int{}
	for pid := 1; pid <= maxPID; pid += 251 {
		h := host(pid)
		assert.Check(t, net.ParseIP(h) != nil, h)
		assert.Check(t, seen[h] == 0, "%d and %d", pid, seen[h])
		seen[h] = pid
	}
}

// A port that was free when it was chosen must still be free when its server
// starts, although connections have been opened and closed in between.
func TestAddressStaysFreeBesideConnections(t *testing.T) {
	addr := Addr()
	l, err := net.Listen("tcp", Addr())
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	for range 200 {
		c, err := net.Dial("tcp", l.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
	}
	s, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
}
