// Command compas prints the configuration and sample jobs of Salón Compás
// for `jasminestep apply` and `jasminestep submit`.
package main

import (
	"fmt"
	"os"

	"jasminestep/pkg/operator"
)

// cell is the configuration. Late listings are of no use to dancers, so the
// policy keeps waiting times short.
var cell = operator.Cell{
	Author: "sala-tecnica",
	Zones:  []string{"quito", "guayaquil", "cuenca"},
	Policy: "wait",
	Members: []operator.Member{
		{Name: "salon", Weight: 2, Worth: 2},
		{Name: "halls", Weight: 4, Quota: operator.Size{CPU: 256000, Memory: 512 << 10}, Worth: 3},
		{Name: "orchestras", Weight: 1, Worth: 1},
	},
}

// documents holds the printable documents by name.
var documents = map[string]operator.Checked{
	"cell": &cell,
	"job": &operator.Job{ // refreshes the afternoon listings
		Name: "refresh-1", Member: "halls", Tasks: 8, Command: []string{"run", "250ms"},
		Size: operator.Size{CPU: 1000, Memory: 1 << 10}, Runtime: 250, Urgency: operator.Urgent,
	},
	"gang": &operator.Job{ // renders posters in tasks that start together
		Name: "posters-1", Member: "salon", Kind: operator.Gang, Tasks: 6, Command: []string{"run", "800ms"},
		Size: operator.Size{CPU: 8000, Memory: 16 << 10, Accel: 1}, Runtime: 1000, Worth: 2,
	},
	"service": &operator.Job{ // serves ticketing requests
		Name: "tickets", Member: "halls", Kind: operator.Service, Tasks: 3, Command: []string{"serve"},
		Size: operator.Size{CPU: 4000, Memory: 8 << 10}, Pool: "listings", Spread: true, Worth: 10,
	},
}

func main() {
	if err := operator.Choose(os.Stdout, "Salón Compás", documents, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "compas:", err)
		os.Exit(1)
	}
}
