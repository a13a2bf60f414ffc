package operator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Choose prints the document that the first element of args names, or the
// document "cell" if args is empty. The main function of an operator's program
// only needs to call it.
func Choose(w io.Writer, title string, docs map[string]Checked, args []string) error {
	name := "cell"
	if len(args) > 0 {
		name = args[0]
	}
	doc, ok := docs[name]
	if !ok {
		return invalid("no document %q: want one of %s", name, strings.Join(slices.Sorted(maps.Keys(docs)), ", "))
	}
	if err := Print(w, title+": "+name, doc); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
