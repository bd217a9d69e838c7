package discovery

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Limits on the size of a response, in bytes.
const (
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 64 << 10 // applies to the header and to the trailers, each
)

var (
	errHTTP       = errors.New("discovery: malformed HTTP response")
	errStatus     = errors.New("discovery: unexpected HTTP status")
	errOverloaded = errors.New("503, the service is overloaded")
)

// response is an HTTP response with status 200.
type response struct {
	body []byte
	last bool // no other response can follow on the connection
}

// header holds the header fields that describe a response's body.
type header struct {
	length  int // Content-Length, -1 if not given
	chunked bool
	closing bool // the connection is closed after the response
}

// readResponse reads one HTTP/1.1 response. A body without a length ends at EOF. A
// connection reset before that is an error, because part of the body may be
// missing.
func readResponse(in *bufio.Reader) (response, error) {
	if err := readStatus(in); err != nil {
		return response{}, err
	}
	header, err := readHeader(in)
	if err != nil {
		return response{}, err
	}
	answer := response{last: header.closing}
	switch {
	case header.chunked:
		answer.body, err = readChunks(in)
	case header.length < 0:
		answer.last = true
		answer.body, err = readUntilEOF(in)
	default:
		answer.body, err = readFull(in, header.length)
	}
	if err != nil {
		return response{}, err
	}
	return answer, nil
}

// readStatus reads the status line. A status other than 200 is an error that wraps
// errStatus, and errOverloaded if the status is 503. A line that is not a status
// line is an error that wraps errHTTP.
func readStatus(in *bufio.Reader) error {
	line, err := readLine(in)
	if err != nil {
		return err
	}
	switch {
	case bytes.HasPrefix(line, []byte("HTTP/1.1 200")):
		return nil
	case bytes.HasPrefix(line, []byte("HTTP/1.1 503")):
		return fmt.Errorf("%w: %w", errStatus, errOverloaded)
	case bytes.HasPrefix(line, []byte("HTTP/1.")):
		return fmt.Errorf("%w: %.40q", errStatus, line)
	}
	return fmt.Errorf("%w: status line %.40q", errHTTP, line)
}

// readHeader reads the header fields up to the empty line.
func readHeader(in *bufio.Reader) (header, error) {
	parsed := header{length: -1}
	for size := 0; ; {
		line, err := readLine(in)
		if err != nil {
			return header{}, err
		}
		if len(line) == 0 {
			return parsed, nil
		}
		size += len(line)
		if size > maxHeaderBytes {
			return header{}, fmt.Errorf("%w: header of more than %d bytes", errHTTP, maxHeaderBytes)
		}
		if err := parsed.parseField(line); err != nil {
			return header{}, err
		}
	}
}

// parseField parses one header field. It ignores unknown fields.
func (h *header) parseField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.Atoi(string(value))
		if err != nil || length < 0 || length > maxBodyBytes {
			return fmt.Errorf("%w: Content-Length %q, want 0 to %d", errHTTP, value, maxBodyBytes)
		}
		h.length = length
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.chunked = bytes.EqualFold(value, []byte("chunked"))
	case bytes.EqualFold(name, []byte("Connection")):
		h.closing = bytes.EqualFold(value, []byte("close"))
	}
	return nil
}

// readLine reads a line and returns it without its line ending. A line longer than
// the reader's buffer is an error. The returned slice is valid until the next
// read.
func readLine(in *bufio.Reader) ([]byte, error) {
	line, err := in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, fmt.Errorf("%w: line of more than %d bytes", errHTTP, len(line))
	}
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// readUntilEOF reads a body that ends at the end of its connection.
func readUntilEOF(in *bufio.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(in, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = fmt.Errorf("%w: body of more than %d bytes", errHTTP, maxBodyBytes)
	}
	return body, err
}

// readFull reads n bytes. It allocates memory only as bytes arrive, because the
// service may announce more than it sends.
func readFull(in *bufio.Reader, n int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(in, int64(n)))
	if err == nil && len(body) < n {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// readChunks reads a chunked body and its trailers.
func readChunks(in *bufio.Reader) ([]byte, error) {
	var body []byte
	for {
		line, err := readLine(in)
		if err != nil {
			return nil, err
		}
		size, _, _ := bytes.Cut(line, []byte{';'})
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 32)
		if err != nil || len(body)+int(n) > maxBodyBytes {
			return nil, fmt.Errorf("%w: chunk size %.40q", errHTTP, line)
		}
		if n == 0 {
			return body, skipTrailers(in)
		}
		chunk, err := readFull(in, int(n))
		if err != nil {
			return nil, err
		}
		body = append(body, chunk...)
		end, err := readLine(in)
		if err != nil {
			return nil, err
		}
		if len(end) > 0 {
			return nil, fmt.Errorf("%w: chunk longer than its size", errHTTP)
		}
	}
}

// skipTrailers skips the fields after the last chunk, up to the empty line.
func skipTrailers(in *bufio.Reader) error {
	for size := 0; size <= maxHeaderBytes; {
		line, err := readLine(in)
		if err != nil || len(line) == 0 {
			return err
		}
		size += len(line)
	}
	return fmt.Errorf("%w: trailers of more than %d bytes", errHTTP, maxHeaderBytes)
}
