package connection

import (
	"bufio"

	"github.com/valyala/fasthttp"
)

// inlineBodyBytes is the largest request body that is written before the answer
// is read; a backend server may answer a longer one early.
const inlineBodyBytes = 16 << 10

// send writes the request. A long body is written while the answer is read, and
// so perhaps after the request was given back; then it needs a copy unless the
// body is kept.
func (e *Exchange) send(req *fasthttp.Request, bodyKept bool) error {
	if len(req.Body()) <= inlineBodyBytes {
		return e.write(req)
	}
	own := &fasthttp.Request{}
	if bodyKept {
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
