package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"

	"github.com/tailscale/hujson"
)

// Checked is a document that validates itself.
type Checked interface {
	Check() error
}

// Print validates doc and writes it to w as JSON with a leading comment.
func Print(w io.Writer, comment string, doc Checked) error {
	if err := doc.Check(); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	b, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return fmt.Errorf("print: %w", err)
	}
	if _, err = fmt.Fprintf(w, "// %s\n%s\n", comment, b); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	return nil
}

// Parse decodes JSON with comments into doc, strictly: an unknown field, a
// wrong type or trailing data is an error that names file, line and column.
func Parse(file string, b []byte, doc any) error { return parse(file, b, doc, true) }

// ParseKnown decodes like Parse but ignores unknown fields, for files that
// a newer version may have written.
func ParseKnown(file string, b []byte, doc any) error { return parse(file, b, doc, false) }

func parse(file string, b []byte, doc any, strict bool) error {
	std, err := hujson.Standardize(bytes.Clone(b))
	if err != nil {
		return invalid("%s: %v", file, err)
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	if strict {
		dec.DisallowUnknownFields()
	}
	if err = dec.Decode(doc); err != nil {
		line, col := position(std, offset(std, dec, err))
		return invalid("%s:%d:%d: %v", file, line, col, err)
	}
	if dec.More() {
		line, col := position(std, dec.InputOffset())
		return invalid("%s:%d:%d: data after the document", file, line, col)
	}
	return nil
}

// offset returns the input offset at which err occurred. The decoder reports no
// position for an unknown field, so the first key of that name is used.
func offset(std []byte, dec *json.Decoder, err error) int64 {
	switch e := err.(type) {
	case *json.SyntaxError:
		return e.Offset
	case *json.UnmarshalTypeError:
		return e.Offset
	}
	if m := unknownRE.FindStringSubmatch(err.Error()); m != nil {
		key := regexp.MustCompile(regexp.QuoteMeta(m[1]) + `\s*:`)
		if loc := key.FindIndex(std); loc != nil {
			return int64(loc[0])
		}
	}
	return dec.InputOffset()
}

var unknownRE = regexp.MustCompile(`unknown field (".*")`)

func position(b []byte, off int64) (line, col int) {
	off = min(max(off, 0), int64(len(b)))
	head := b[:off]
	line = bytes.Count(head, []byte("\n")) + 1
	return line, len(head) - bytes.LastIndexByte(head, '\n')
}

// Locate returns the line and column of the first occurrence of the key name in
// b, or the start of b if there is none.
func Locate(b []byte, name string) (line, col int) {
	return position(b, int64(max(0, bytes.Index(b, []byte(`"`+name+`"`)))))
}
