package logging

import (
	"bytes"
	"context"
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

// OmitQuoted returns a writer for the standard library's log that leaves out what
// stands between the first and the last quotation mark of a line. The HTTP client
// quotes there up to 4 KiB of what a server sent unasked, which may be a part of an
// answer.
func OmitQuoted(w io.Writer) io.Writer { return quoteOmitter{w} }

type quoteOmitter struct{ w io.Writer }

// Write implements io.Writer.
func (o quoteOmitter) Write(line []byte) (int, error) {
	short := line
	if first, last := bytes.IndexByte(line, '"'), bytes.LastIndexByte(line, '"'); first < last {
		short = append(bytes.Clone(line[:first+1]), line[last:]...)
	}
	if _, err := o.w.Write(short); err != nil {
		return 0, err
	}
	return len(line), nil
}

// DescribeCopyError returns the text of an error of copying a response to a caller. The
// texts of parsing errors quote the response and are left out.
func DescribeCopyError(err error) string {
	var networkErr net.Error
	if errors.As(err, &networkErr) || errors.IsAny(err, io.ErrUnexpectedEOF, context.Canceled, net.ErrClosed) {
		return err.Error()
	}
	return "malformed response"
}
