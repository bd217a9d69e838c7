package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"lotusbend/internal/postgres/wire"
)

// answerTime limits the wait for one answer.
const answerTime = 15 * time.Second

// Client is a client's connection to a router.
type Client struct {
	conn net.Conn
	in   *bufio.Reader
}

// Answer is what a router answered to one command.
type Answer struct {
	Code  string // SQLSTATE of an error, "" for none
	Value []byte // of the row, nil for none
	Empty bool   // EmptyQueryResponse
}

// String describes the answer in the record.
func (a Answer) String() string {
	switch {
	case a.Empty:
		return "empty query"
	case a.Code == wire.CodeTooManyConnections || a.Code == wire.CodeCannotConnectNow:
		return "refused, " + a.Code
	case a.Code != "":
		return "failed, " + a.Code
	}
	return fmt.Sprintf("served, value %x", a.Value)
}

// Dial connects to a router and waits for the end of the startup.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, in: bufio.NewReader(conn)}
	if _, err := conn.Write(wire.AppendStartup(nil, "app", "shop")); err != nil {
		c.Close()
		return nil, err
	}
	if _, err := c.Read(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Send writes queries without waiting for answers.
func (c *Client) Send(queries ...string) error {
	var b []byte
	for _, query := range queries {
		b = wire.AppendQuery(b, []byte(query))
	}
	_, err := c.conn.Write(b)
	return err
}

// Query sends one query and reads its answer.
func (c *Client) Query(query string) (Answer, error) {
	if err := c.Send(query); err != nil {
		return Answer{}, err
	}
	return c.Read()
}

// Read reads the messages up to the next ReadyForQuery.
func (c *Client) Read() (answer Answer, err error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(answerTime)); err != nil {
		return answer, err
	}
	for {
		kind, body, err := ReadMessage(c.in)
		if err != nil {
			return answer, err
		}
		switch kind {
		case wire.ErrorResponse:
			if fields, err := wire.ParseErrorResponse(body); err == nil {
				answer.Code = string(fields.Code)
			}
		case wire.DataRow:
			value, err := wire.ParseDataRow(body)
			if err != nil {
				return answer, err
			}
			answer.Value = append([]byte{}, value...)
		case 'I':
			answer.Empty = true
		case wire.ReadyForQuery:
			return answer, nil
		}
	}
}

// ReadMessage reads one message that follows the startup.
func ReadMessage(in *bufio.Reader) (kind byte, body []byte, err error) {
	header := make([]byte, wire.HeaderLen)
	if _, err := io.ReadFull(in, header); err != nil {
		return 0, nil, err
	}
	kind, size, err := wire.ParseHeader(header)
	if err != nil {
		return 0, nil, err
	}
	body = make([]byte, size)
	_, err = io.ReadFull(in, body)
	return kind, body, err
}

// Ended reports whether the router has ended the connection between requests: the
// answer that first waits for has been read, and nothing but the end follows. Without
// that answer the connection is still in use, and what first delivers stays there.
func (c *Client) Ended(first chan error) bool {
	select {
	case err := <-first:
		first <- err
		if err != nil {
			return true
		}
	default:
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.in.Peek(1)
	return errors.Is(err, io.EOF)
}
