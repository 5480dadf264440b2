package gateway

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/iotest"

	"github.com/apricotgrade/apricotgrade/pkg/memory"
)

// FuzzReadAnswer guards against answers that are changed, longer than the limit, or held in
// more memory than is reserved, and against memory that is not given back.
func FuzzReadAnswer(f *testing.F) {
	f.Add([]byte("answer"), 1, true, 10, false)
	f.Add([]byte("answer"), 20<<10, false, 200<<10, true)
	f.Add([]byte("answer"), 11<<10, false, 66<<10, false)
	f.Add([]byte{}, 0, false, 0, false)
	f.Fuzz(func(t *testing.T, part []byte, count int, declared bool, limit int, slow bool) {
		const size = 4 << 20
		content := bytes.Repeat(part, min(max(count, 0), size/4/max(len(part), 1)))
		limit = min(max(limit, 0), size/4)
		length := int64(-1)
		if declared {
			length = int64(len(content))
		}
		var source io.Reader = bytes.NewReader(content)
		if slow {
			source = iotest.HalfReader(source)
		}
		budget := memory.NewBudget(size)
		held := budget.NewAnswerReservation("target")
		reader := answerReader{body: source, limit: int64(limit), held: held}
		body, err := reader.read(context.Background(), length)
		var written bytes.Buffer
		body.writeTo(&written)
		switch {
		case (err == nil) != (len(content) <= limit):
			t.Errorf("%d of %d bytes: %v", len(content), limit, err)
		case err == nil && !bytes.Equal(written.Bytes(), content):
			t.Errorf("%d bytes read as %d other ones", len(content), written.Len())
		case err == nil && int64(body.size()) > budget.Used():
			t.Errorf("%d bytes held, %d reserved", body.size(), budget.Used())
		}
		held.Release()
		if budget.Used() != 0 {
			t.Errorf("%d bytes are still reserved", budget.Used())
		}
	})
}
