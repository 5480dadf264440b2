package command

import (
	"fmt"
	"io"
)

// fprintf writes text for the operator. Errors are dropped, as nobody is left
// to read them once the output is gone.
func fprintf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// fprintln is fprintf for one line.
func fprintln(w io.Writer, args ...any) { _, _ = fmt.Fprintln(w, args...) }
