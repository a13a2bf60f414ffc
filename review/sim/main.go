package sim

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Main runs a case in its folder and exits with its result. All processes that
// the case started are ended, also if it is interrupted.
func Main(folder string, run func(s *Site) (int, error)) {
	s, err := NewSite(folder)
	if err != nil {
		fmt.Println("not run:", err)
		os.Exit(ExitNotRun)
	}
	sigs := make(chan os.Signal, 1)
	signal.Notify(sigs, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := run(s)
		done <- result{code, err}
	}()
	res := result{code: ExitNotRun}
	select {
	case res = <-done:
	case sig := <-sigs:
		res.err = fmt.Errorf("interrupted by signal %v", sig)
	}
	if res.err != nil {
		res.code = ExitNotRun
		s.Verdict("not run: %v", res.err)
	}
	s.Close()
	os.Exit(res.code)
}

// Verdict records and prints the result of a case.
func (s *Site) Verdict(format string, args ...any) {
	s.Record.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}
