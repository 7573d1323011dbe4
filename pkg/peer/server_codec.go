package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
)

// serverCodec is the gob codec of net/rpc, except that replies do not repeat the name of the method.
// Clients match replies by sequence number, so the codec of rpc.NewClient can read them.
type serverCodec struct {
	conn    io.ReadWriteCloser
	buffer  *bufio.Writer
	decoder *gob.Decoder
	encoder *gob.Encoder
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

func newServerCodec(conn io.ReadWriteCloser) *serverCodec {
	buffer := bufio.NewWriter(conn)
	return &serverCodec{
		conn: conn, buffer: buffer, decoder: gob.NewDecoder(conn), encoder: gob.NewEncoder(buffer),
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(request *rpc.Request) error { return c.decoder.Decode(request) }

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

// WriteResponse implements rpc.ServerCodec. It closes the connection after a failed write, because the client could not
// decode what follows.
func (c *serverCodec) WriteResponse(response *rpc.Response, body any) error {
	header := rpc.Response{Seq: response.Seq, Error: response.Error}
	if err := c.write(&header, body); err != nil {
		_ = c.conn.Close()
		return err
	}
	return nil
}

func (c *serverCodec) write(header *rpc.Response, body any) error {
	if err := c.encoder.Encode(header); err != nil {
		return err
	}
	if err := c.encoder.Encode(body); err != nil {
		return err
	}
	return c.buffer.Flush()
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }
