// Command soak runs real entries as processes of their own against stand-ins of
// the users' platform, harms them from outside, and checks the promises from
// what clients and minions see.
//
// Faults come in series and overlap: entries are killed, paused, stopped and
// told of new settings; their ways to the store and to minions are delayed,
// reset, silenced or cut one way; the store refuses, loses answers, carries
// writes out late and forgets its history; minions crash; configurations change.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Program string `long:"program" default:"dist/jasminestep" description:"program to run as entries"`
	Seed    int64  `long:"seed" default:"1" description:"first seed"`
	Seeds   int    `long:"seeds" default:"1" description:"number of seeds"`
	Seconds int    `long:"seconds" default:"15" description:"length of the faults, in seconds"`
	Entries int    `long:"entries" default:"4" description:"number of entries"`
	Minions int    `long:"minions" default:"6" description:"number of minions"`
	Dir     string `long:"dir" default:"dist/soaks" description:"where settings and logs go"`
}

func main() {
	var opt options
	if _, err := flags.Parse(&opt); err != nil {
		os.Exit(2) // the library has said why
	}
	failed := 0
	for i := range opt.Seeds {
		seed := opt.Seed + int64(i)
		res, err := runSeed(opt, seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "soak: seed %d: %v\n", seed, err)
			os.Exit(1)
		}
		fmt.Println(res.summary())
		for _, b := range res.violations {
			fmt.Println("  broken:", b)
		}
		if len(res.violations) > 0 {
			failed++
		}
	}
	fmt.Printf("%d passed, %d failed\n", opt.Seeds-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}
