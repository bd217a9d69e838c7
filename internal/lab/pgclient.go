package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"lotusbend/internal/postgres/wire"
)

const (
	pgUser     = "app"
	pgDatabase = "shop"
	// pgDialTimeout limits the TCP connect of clients that reconnect.
	pgDialTimeout = time.Second
	// pgAnswerTimeout limits the wait for an answer.
	pgAnswerTimeout = 5 * time.Second
)

// pgClient is a PostgreSQL connection to a router. It runs one statement at a time.
type pgClient struct {
	conn net.Conn
	in   *bufio.Reader
}

// errStartup is returned when the TCP connect succeeded and the startup failed.
var errStartup = errors.New("lab: PostgreSQL startup failed")

// dialPostgres connects to a router. A zero timeout does not limit the connect. The
// error wraps errStartup if the router accepted the TCP connection.
func dialPostgres(address string, timeout time.Duration) (*pgClient, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	c := &pgClient{conn: conn, in: bufio.NewReader(conn)}
	code, err := c.send(wire.AppendStartup(nil, pgUser, pgDatabase))
	if err != nil {
		c.close()
		return nil, fmt.Errorf("%w: %w", errStartup, err)
	}
	if code != "" {
		c.close()
		return nil, fmt.Errorf("%w: rejected with %s", errStartup, code)
	}
	return c, nil
}

func (c *pgClient) close() { _ = c.conn.Close() }

// query runs a statement and returns the SQLSTATE of its error, or "" if it succeeded.
// After a non-nil err the connection must be closed.
func (c *pgClient) query(text string) (code string, err error) {
	return c.send(wire.AppendQuery(nil, []byte(text)))
}

// send writes a message and reads messages up to ReadyForQuery. It returns the SQLSTATE
// of the last ErrorResponse, or "" if there was none.
func (c *pgClient) send(message []byte) (code string, err error) {
	if _, err := c.conn.Write(message); err != nil {
		return "", err
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(pgAnswerTimeout)); err != nil {
		return "", err
	}
	for {
		kind, body, err := c.readMessage()
		if err != nil {
			return code, err
		}
		switch kind {
		case wire.ErrorResponse:
			if answer, err := wire.ParseErrorResponse(body); err == nil {
				code = string(answer.Code)
			}
		case wire.ReadyForQuery:
			return code, nil
		}
	}
}

func (c *pgClient) readMessage() (kind byte, body []byte, err error) {
	header := make([]byte, wire.HeaderLen)
	if _, err := io.ReadFull(c.in, header); err != nil {
		return 0, nil, err
	}
	kind, size, err := wire.ParseHeader(header)
	if err != nil {
		return 0, nil, err
	}
	body = make([]byte, size)
	_, err = io.ReadFull(c.in, body)
	return kind, body, err
}

// insertStatement returns a write of a row; its comment holds the request's parameters.
func insertStatement(row uint64, value string, requestID, key uint64, group int) string {
	return fmt.Sprintf(`INSERT INTO items (id, doc) VALUES ('%016x', '\x%x') RETURNING doc `+
		`/* id=%016x,c=ledger-write,d=1200,k=%016x,cluster=%d */`, row, value, requestID, key, group)
}

// selectStatement returns a read of a class; its comment holds the request's parameters.
func selectStatement(row, requestID uint64, class string, group int) string {
	return fmt.Sprintf(`SELECT doc FROM items WHERE id = '%016x' /* id=%016x,c=%s,d=1200,cluster=%d */`,
		row, requestID, class, group)
}
