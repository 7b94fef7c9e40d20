package request

import (
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/connection"
)

// http10BufferBytes is the size of the reads of a body that is sent without chunks.
const http10BufferBytes = 8 << 10

// setBodyStream sets the body of the caller's response, of length bytes, or -1 if that is not known. fasthttp
// sends chunks then, also to callers that use HTTP/1.0 and know none; for those the body ends with the
// connection, and with a reset if it is not complete.
func (c *call) setBodyStream(body io.ReadCloser, length int) {
	if length >= 0 || c.http.Request.Header.IsHTTP11() {
		c.http.Response.SetBodyStream(body, length)
		return
	}
	c.http.Response.SetConnectionClose()
	header := append([]byte(nil), withoutFraming(&c.http.Response.Header)...)
	outer := c.http.Conn()
	c.http.HijackSetNoResponse(true)
	c.http.Hijack(func(conn net.Conn) {
		if err := writeUntilClose(conn, header, body); err != nil {
			connection.Reset(outer)
		}
		_ = body.Close() // records how the response ended
	})
}

// withoutFraming returns the status line and the header section of a response whose body ends with its connection.
func withoutFraming(h *fasthttp.ResponseHeader) []byte {
	h.SetContentLength(-2)
	h.Del(fasthttp.HeaderTransferEncoding)
	return h.Header()
}

func writeUntilClose(conn net.Conn, header []byte, body io.Reader) error {
	if _, err := conn.Write(header); err != nil {
		return err
	}
	_, err := io.CopyBuffer(struct{ io.Writer }{conn}, struct{ io.Reader }{body}, make([]byte, http10BufferBytes))
	return err
}
