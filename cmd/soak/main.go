// Command soak runs entries as separate processes against simulated services of
// the users' platform, injects faults, and verifies the scheduler's guarantees
// from what clients and minions observe.
//
// Faults are injected in sequence and overlap: entries are killed, paused,
// stopped and told to reload their settings; connections to the store and to
// minions are delayed, reset, blackholed or blocked in one direction; the store
// rejects transactions, loses responses, applies writes late and discards its
// history; minions crash and their capacity shrinks and grows; another writer
// leaves odd rows of minions; configurations change. A minion starts again under
// its ID, gets calls that were meant for its former life, is given new work and is
// cut off; with --reborn, half of all faults are of this kind, and some tasks run
// for seconds. Some faults come in series.
// With --deadly, some jobs crash each minion that starts them. With --accounts,
// clients have accounts: one submits more than its limit lets through, each new
// configuration brings new keys and withdraws old ones, and now and then a client
// uses a key that is withdrawn or of another account.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Program   string `long:"program" default:"dist/jasminestep" description:"entry executable"`
	Seed      int64  `long:"seed" default:"1" description:"first seed"`
	Seeds     int    `long:"seeds" default:"1" description:"number of seeds"`
	Seconds   int    `long:"seconds" default:"15" description:"duration of load and faults, in seconds"`
	Entries   int    `long:"entries" default:"4" description:"number of entries"`
	Minions   int    `long:"minions" default:"8" description:"number of minions"`
	Deadly    bool   `long:"deadly" description:"submit jobs that crash the minions that start them, too"`
	Accounts  bool   `long:"accounts" description:"clients have accounts with limits, and keys that come and go"`
	Reborn    bool   `long:"reborn" description:"half of the faults are restarts of minions that get calls for their former life and are cut off soon after, and some tasks run for seconds"`
	Processes bool   `long:"processes" description:"minions are processes of their own, which are killed and started again; without gangs, --deadly and --accounts"`
	Dir       string `long:"dir" default:"dist/soaks" description:"directory for settings and logs"`
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == minionCommand {
		if err := serveMinion(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "soak: minion:", err)
			os.Exit(1)
		}
		return
	}
	var opt options
	if _, err := flags.Parse(&opt); err != nil {
		os.Exit(2) // the flags package has printed the error
	}
	if opt.Processes && (opt.Deadly || opt.Accounts) {
		fmt.Fprintln(os.Stderr, "soak: --processes goes without --deadly and --accounts")
		os.Exit(2)
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
