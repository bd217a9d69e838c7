package harness

import (
	"bufio"
	"net"
	"time"

	"lotusbend/internal/postgres/wire"
)

// Client is one client's connection to a router.
type Client struct {
	Conn net.Conn
	In   *bufio.Reader
	// Refusal is the SQLSTATE with which the router has answered the connection
	// itself, "" if it has not. It is the answer to a first query too.
	Refusal string
}

// Reply is a router's whole answer to one query.
type Reply struct {
	Value []byte // of a row
	Row   bool
	Code  string // SQLSTATE of an error
	Empty bool   // EmptyQueryResponse
	Err   error  // the connection ended or nothing came in time
}

// Dial connects and sends the startup message.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{Conn: conn, In: bufio.NewReader(conn)}
	if _, err := conn.Write(wire.AppendStartup(nil, "app", "shop")); err != nil {
		c.Close()
		return nil, err
	}
	reply := c.Receive(time.Second)
	if reply.Err != nil {
		c.Close()
		return nil, reply.Err
	}
	c.Refusal = reply.Code
	return c, nil
}

// Close ends the connection.
func (c *Client) Close() { _ = c.Conn.Close() }

// Send writes a query without waiting for its answer.
func (c *Client) Send(text string) error {
	_, err := c.Conn.Write(wire.AppendQuery(nil, []byte(text)))
	return err
}

// Query sends a query and waits for its answer.
func (c *Client) Query(text string, timeout time.Duration) Reply {
	if c.Refusal != "" {
		return Reply{Code: c.Refusal}
	}
	if err := c.Send(text); err != nil {
		return Reply{Err: err}
	}
	return c.Receive(timeout)
}

// Receive reads messages up to ReadyForQuery or the end of the connection.
func (c *Client) Receive(timeout time.Duration) (reply Reply) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(timeout))
	for {
		kind, body, err := ReadMessage(c.In)
		if err != nil {
			if reply.Code == "" { // no ReadyForQuery is needed after a fatal error
				reply.Err = err
			}
			return reply
		}
		switch kind {
		case wire.ErrorResponse:
			fields, _ := wire.ParseErrorResponse(body)
			reply.Code = string(fields.Code)
		case wire.DataRow:
			reply.Value, _ = wire.ParseDataRow(body)
			reply.Row = true
		case wire.EmptyQueryResponse:
			reply.Empty = true
		case wire.ReadyForQuery:
			return reply
		}
	}
}
