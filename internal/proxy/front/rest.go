package front

import (
	"io"
	"time"
)

// settle ends the reading of the body for attempts, before the response begins, and reads the rest
// beside the response: the caller may read nothing before it has sent everything, and only a read
// notices that it disconnects. It waits up to bodyRestTime for the end and reports whether
// the body was read whole. Otherwise the connection cannot be used again.
//
// The rest is read without a deadline. net/http takes one that passes for the end of the connection
// and cancels the request, and with it the attempt whose response is being passed on.
func (b *replayableBody) settle() bool {
	first := !b.answering.Swap(true)
	// A caller that asks first has sent nothing yet, and a read would tell it to.
	if b.isWhole() || b.asksFirst && !b.begun.Load() {
		return b.isWhole()
	}
	if first {
		b.setReadDeadline(time.Time{})
		b.rest = make(chan struct{})
		go b.discardRest()
	}
	timer := time.NewTimer(bodyRestTime)
	defer timer.Stop()
	select {
	case <-b.rest:
	case <-timer.C:
	}
	return b.isWhole()
}

// isWhole reports whether the body was read to its end, by an attempt or by settle.
func (b *replayableBody) isWhole() bool {
	return b.ended.Load() || b.restEnded.Load()
}

// discardRest reads the rest of the body once an attempt that is reading has stopped.
func (b *replayableBody) discardRest() {
	defer close(b.rest)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	// The attempt may have set a deadline after settle has removed it.
	b.setReadDeadline(time.Time{})
	if b.ended.Load() {
		return
	}
	_, err := io.Copy(io.Discard, b.body)
	b.restEnded.Store(err == nil)
}

// close ends the reading of the body before the handler returns. With HTTP/1 a connection whose
// request was not read whole is not used again, so that a deadline may pass.
func (b *replayableBody) close() {
	b.controlMutex.Lock()
	if b.isHTTP1 && !b.isWhole() {
		_ = b.control.SetReadDeadline(past)
	}
	b.closed = true
	b.controlMutex.Unlock()
	if b.rest != nil {
		<-b.rest
	}
	if b.body != nil && !b.isHTTP1 {
		_ = b.body.Close()
	}
}
