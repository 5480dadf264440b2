package command

import (
	"fmt"
	"io"
)

// fprintf writes text for the operator. Write errors are ignored, because they
// cannot be reported once the output is closed.
func fprintf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// fprintln writes a line in the same way.
func fprintln(w io.Writer, args ...any) { _, _ = fmt.Fprintln(w, args...) }
