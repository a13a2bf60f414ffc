// Command oshana prints the configuration and sample jobs of the Oshana Fryer
// Oil Recovery Consortium for `jasminestep apply` and `jasminestep submit`.
package main

import (
	"fmt"
	"os"

	"jasminestep/pkg/operator"
)

// cell is the configuration. Idle capacity costs money, so the policy packs tasks
// densely.
var cell = operator.Cell{
	Author: "depot-office",
	Zones:  []string{"omusati", "ohangwena", "oshana", "oshikoto"},
	Policy: "pack",
	Members: []operator.Member{
		{Name: "onaanda", Weight: 2, Quota: operator.Size{CPU: 96000, Memory: 256 << 10}, Worth: 2},
		{Name: "etosha-oil", Weight: 1, Worth: 1},
		{Name: "kunene-fry", Weight: 1, Worth: 1},
		{Name: "coastal", Weight: 1, Worth: 3},
	},
}

// documents holds the printable documents by name.
var documents = map[string]operator.Checked{
	"cell": &cell,
	"job": &operator.Job{ // computes the morning routes
		Name: "route-1", Member: "etosha-oil", Tasks: 4, Command: []string{"run", "400ms"},
		Size: operator.Size{CPU: 2000, Memory: 2 << 10}, Runtime: 400, Urgency: operator.Urgent,
	},
	"gang": &operator.Job{ // runs a quality model on several accelerators at once
		Name: "quality-1", Member: "onaanda", Kind: operator.Gang, Tasks: 4, Command: []string{"run", "900ms"},
		Size: operator.Size{CPU: 4000, Memory: 16 << 10, Accel: 1}, Runtime: 1000, Worth: 4,
	},
	"service": &operator.Job{ // serves settlement requests
		Name: "settle", Member: "coastal", Kind: operator.Service, Tasks: 3, Command: []string{"serve"},
		Size: operator.Size{CPU: 2000, Memory: 4 << 10}, Pool: "settlement", Spread: true, Worth: 10,
	},
}

func main() {
	if err := operator.Choose(os.Stdout, "Oshana Fryer Oil Recovery Consortium", documents, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "oshana:", err)
		os.Exit(1)
	}
}
