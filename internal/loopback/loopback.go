// Package loopback hands out loopback addresses to tests that start servers.
//
// Every process has an IP address of its own in 127.0.0.0/8, with ports below the
// range from which the kernel takes those of outgoing connections. So a port
// stays free between the choice of an address and the start of its server.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// firstPort is the first port handed out; the last one is below 32768, where the
// ports of outgoing connections begin.
const firstPort = 10_000

// firstNet is the second byte of the lowest address handed out. Process IDs have
// 22 bits, so the highest is 127.127.255.255.
const firstNet = 64

var used atomic.Int64

// Addr returns an address, as IP:port, that was not returned before and that no
// other process uses.
func Addr() string {
	return fmt.Sprintf("%s:%d", host(os.Getpid()), firstPort+used.Add(1)-1)
}

// host is the IP address of a process.
func host(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstNet+pid>>16&63, pid>>8&255, pid&255)
}
