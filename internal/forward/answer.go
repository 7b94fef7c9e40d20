package forward

import (
	"io"
	"sync"

	"golang.org/x/sync/semaphore"

	"monsoonkeel.example/monsoonkeel/internal/connection"
)

const (
	// maxBufferedBody is the largest answer that is read whole before it is
	// passed on, so that a broken one can be repeated or reported, in bytes.
	maxBufferedBody = 256 << 10
	// shortBody is the length up to which an answer is always read whole, in
	// bytes. Longer ones need a part of the room for answers.
	shortBody = 16 << 10
	// copyBytes is the size of the pieces of a long answer.
	copyBytes = 8 << 10
	// minAnswerRoom holds one answer of the largest size that is read whole.
	minAnswerRoom = maxBufferedBody
)

// answers bounds the memory of answers whose callers read slowly.
type answers struct {
	room   *semaphore.Weighted
	pieces sync.Pool
}

func newAnswers(room int64) *answers {
	return &answers{
		room:   semaphore.NewWeighted(max(room, minAnswerRoom)),
		pieces: sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }},
	}
}

// begin reads an answer's body whole if it is short, or if there is room and it
// is not too long; else it reads the first part. release gives back the room.
func (a *answers) begin(body io.Reader) (read []byte, whole bool, release func(), err error) {
	release = func() {}
	read, whole, err = readUpTo(body, shortBody)
	if err != nil || whole || !a.room.TryAcquire(maxBufferedBody) {
		return read, whole, release, err
	}
	release = func() { a.room.Release(maxBufferedBody) }
	rest, whole, err := readUpTo(body, maxBufferedBody-shortBody)
	return append(read, rest...), whole, release, err
}

// readUpTo reads a body to its end or up to a size.
func readUpTo(body io.Reader, limit int) (read []byte, whole bool, err error) {
	if body == nil {
		return nil, true, nil
	}
	read, err = io.ReadAll(io.LimitReader(body, int64(limit)))
	return read, err == nil && len(read) < limit, err
}

// copyRest passes on what is left of a body in pieces.
func (a *answers) copyRest(to io.Writer, body io.Reader) error {
	piece := a.pieces.Get().(*[]byte)
	defer a.pieces.Put(piece)
	_, err := io.CopyBuffer(to, body, *piece)
	return err
}

// deliver passes an answer on, whole if it is not too long.
func (r *request) deliver(ex *connection.Exchange) error {
	body, whole, release, err := r.g.answers.begin(ex.Body())
	if err != nil {
		release()
		ex.Finish(false)
		return broken(err)
	}
	r.status = ex.Response.StatusCode()
	r.answered = true
	if whole {
		r.call.Respond(r.status, answerHeader(&ex.Response.Header), body)
		release()
		ex.Finish(true)
		return nil
	}
	return r.deliverLong(ex, body, release)
}

// deliverLong passes on an answer of which a part was read. release gives back
// the room of that part.
func (r *request) deliverLong(ex *connection.Exchange, begun []byte, release func()) error {
	err := r.call.Begin(r.status, answerHeader(&ex.Response.Header))
	if err == nil {
		_, err = r.call.Write(begun)
	}
	release()
	if err == nil {
		err = r.g.answers.copyRest(r.call, ex.Body())
	}
	if err == nil {
		err = r.call.End()
	}
	ex.Finish(err == nil)
	if err != nil {
		r.call.Abort()
		return broken(err)
	}
	return nil
}
