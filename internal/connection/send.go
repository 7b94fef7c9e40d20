package connection

import (
	"bufio"

	"github.com/valyala/fasthttp"
)

// inlineBodyBytes is the size of the largest request body that is written before the
// response is read. To a larger one, a backend server may respond before it was sent.
const inlineBodyBytes = 16 << 10

// send writes the request. A body larger than inlineBodyBytes is written by another
// goroutine while the response is read, perhaps after the request was released, so it
// is copied unless the caller doesn't reuse it.
func (e *Exchange) send(req *fasthttp.Request, bodyNotReused bool) error {
	if len(req.Body()) <= inlineBodyBytes {
		return e.write(req)
	}
	own := &fasthttp.Request{}
	if bodyNotReused {
		req.Header.CopyTo(&own.Header)
		own.SetBodyRaw(req.Body())
	} else {
		req.CopyTo(own)
	}
	e.sendResult = make(chan error, 1)
	go func() { e.sendResult <- e.write(own) }()
	return nil
}

func (e *Exchange) write(req *fasthttp.Request) error {
	w := bufio.NewWriter(e.conn)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}
