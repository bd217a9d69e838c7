package discovery

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Limits on what a response may occupy, in bytes.
const (
	maxBody   = 4 << 20
	maxHeader = 64 << 10 // also of the trailers
)

var (
	errHTTP       = errors.New("discovery: malformed response")
	errStatus     = errors.New("discovery: no list")
	errOverloaded = errors.New("busy")
)

// response is an HTTP response with status 200.
type response struct {
	body []byte
	last bool // no other can follow on the connection
}

// header is what a response's header says of its body.
type header struct {
	length  int // of the body, -1 if not given
	chunked bool
	closing bool // the connection ends after the response
}

// readResponse reads one HTTP/1.1 response. A body without a length ends with
// the connection's end; a reset means that part of it is missing.
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

// readStatus reads the status line. A status other than 200 is an error.
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
	return fmt.Errorf("%w: %.40q", errHTTP, line)
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
		if size > maxHeader {
			return header{}, fmt.Errorf("%w: a head of over %d bytes", errHTTP, maxHeader)
		}
		if err := parsed.parseField(line); err != nil {
			return header{}, err
		}
	}
}

// parseField reads one header field; it ignores unknown ones.
func (h *header) parseField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.Atoi(string(value))
		if err != nil || length < 0 || length > maxBody {
			return fmt.Errorf("%w: length %q", errHTTP, value)
		}
		h.length = length
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.chunked = bytes.EqualFold(value, []byte("chunked"))
	case bytes.EqualFold(name, []byte("Connection")):
		h.closing = bytes.EqualFold(value, []byte("close"))
	}
	return nil
}

// readLine reads a line without its end. It may be as long as the reader's
// buffer and is valid until the next read.
func readLine(in *bufio.Reader) ([]byte, error) {
	line, err := in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, fmt.Errorf("%w: a line of over %d bytes", errHTTP, len(line))
	}
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// readUntilEOF reads a body that ends with its connection.
func readUntilEOF(in *bufio.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(in, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = fmt.Errorf("%w: over %d bytes", errHTTP, maxBody)
	}
	return body, err
}

// readFull reads n bytes. It allocates memory only for bytes that arrive.
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
		if err != nil || len(body)+int(n) > maxBody {
			return nil, fmt.Errorf("%w: chunk %.40q", errHTTP, line)
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
			return nil, fmt.Errorf("%w: a chunk without its end", errHTTP)
		}
	}
}

// skipTrailers skips the fields after the last chunk, up to the empty line.
func skipTrailers(in *bufio.Reader) error {
	for size := 0; size <= maxHeader; {
		line, err := readLine(in)
		if err != nil || len(line) == 0 {
			return err
		}
		size += len(line)
	}
	return fmt.Errorf("%w: trailers of over %d bytes", errHTTP, maxHeader)
}
