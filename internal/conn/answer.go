package conn

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

const (
	// chunkOverheadBytes is how many bytes of chunk sizes, extensions and trailers a body may have
	// beyond the number of its own bytes.
	chunkOverheadBytes = 16 << 10
	// DefaultHeadBytes is the default of AnswerLimits.HeadBytes.
	DefaultHeadBytes = 16 << 10
	// freeAnswerHead is the part of each head that is not reserved in the budget; most heads are shorter.
	freeAnswerHead = 2 << 10
	// DefaultInterim is the default of AnswerLimits.Interim.
	DefaultInterim = 16
)

// AnswerLimits bounds what a server may send in answer to one request.
type AnswerLimits struct {
	// HeadBytes bounds the status line and the header, together with the interim (1xx) answers before
	// them.
	HeadBytes int
	// Interim is the maximum number of interim answers.
	Interim int
	// BodyBytes bounds the body.
	BodyBytes int64
	// Budget bounds the bodies and the long heads of all answers together; nil means no bound.
	Budget *Budget
}

// DefaultAnswerLimits returns limits well above what servers usually send, without a budget.
func DefaultAnswerLimits() AnswerLimits {
	return AnswerLimits{HeadBytes: DefaultHeadBytes, Interim: DefaultInterim, BodyBytes: MaxAnswerBytes}
}

// answer is a server's answer.
type answer struct {
	status      int
	header      http.Header
	body        []byte
	reservation Reservation
	// closing is set if the server closes the connection after the answer.
	closing bool
}

var (
	errHeadTooLong  = errors.New("head is too long")
	errStatus       = errors.New("status is below 100")
	errInterim      = errors.New("too many interim answers")
	errChunkTooLong = errors.New("chunks have more overhead than content")
	errSpliced      = errors.New("another answer begins within the answer")
)

// meter counts the bytes read from a connection and ends reading with an error after left of them.
type meter struct {
	r    io.Reader
	left int64
	read int64
	// tooLong is the error at the limit.
	tooLong error
	// head, if not nil, is the reservation of a head that is being read, of which headRead bytes have come.
	head     *Reservation
	headRead int64
	// noRoom is the error of the reservation, after which nothing is read: the parser goes on with the part of a line that it has.
	noRoom error
}

// Read reads from the connection.
func (m *meter) Read(p []byte) (int, error) {
	if m.noRoom != nil {
		return 0, m.noRoom
	}
	if m.left <= 0 {
		return 0, m.tooLong
	}
	if int64(len(p)) > m.left {
		p = p[:m.left]
	}
	n, err := m.r.Read(p)
	m.left -= int64(n)
	m.read += int64(n)
	if m.head != nil && n > 0 {
		if m.noRoom = m.reserveHead(p[:n]); m.noRoom != nil {
			return 0, m.noRoom
		}
	}
	return n, err
}

// reserveHead reserves room for more bytes of a head, as much as its fields take when parsed.
func (m *meter) reserveHead(p []byte) error {
	free := min(max(0, freeAnswerHead-m.headRead), int64(len(p)))
	m.headRead += int64(len(p))
	p = p[free:]
	return m.head.grow(headCost(int64(bytes.Count(p, []byte("\n"))), int64(len(p))))
}

// answerReader reads the answers on one connection. At a limit it returns an error that wraps
// ErrMalformed; the connection cannot be used after any error.
type answerReader struct {
	meter meter
	r     *bufio.Reader
}

func newAnswerReader(c io.Reader, bufferBytes int) *answerReader {
	a := &answerReader{meter: meter{r: c}}
	a.r = bufio.NewReaderSize(&a.meter, bufferBytes)
	return a
}

// idle reports whether nothing has been read beyond the last answer.
func (a *answerReader) idle() bool { return a.r.Buffered() == 0 }

// buffered returns what has been read beyond the last answer. It is valid until the next read.
func (a *answerReader) buffered() []byte {
	b, _ := a.r.Peek(a.r.Buffered())
	return b
}

// next reads one final answer, skipping interim answers. maxBody lowers the limit of the body if it is
// positive. With an error, the status is set if the head was complete.
func (a *answerReader) next(req *http.Request, l *AnswerLimits, maxBody int64) (answer, error) {
	a.meter.left, a.meter.tooLong = int64(l.HeadBytes), errHeadTooLong
	res := Reservation{budget: l.Budget}
	a.meter.head, a.meter.headRead = &res, int64(a.r.Buffered())
	resp, err := a.head(req, l.Interim)
	a.meter.head = nil
	if a.meter.noRoom != nil {
		err = a.meter.noRoom
	}
	if err == nil && holdsStatusLine(resp.Status) {
		err = errSpliced
	}
	if err != nil {
		res.Release()
		return answer{}, asMalformed(err)
	}
	limit := l.BodyBytes
	if maxBody > 0 {
		limit = min(limit, maxBody)
	}
	out := answer{status: resp.StatusCode, header: resp.Header, closing: resp.Close}
	out.body, out.reservation, err = a.body(resp, limit, res)
	if err == nil {
		err = resp.Body.Close()
	}
	if err == nil {
		return out, nil
	}
	// The body is not closed: that would read the rest of it.
	out.reservation.Release()
	return answer{status: out.status}, asMalformed(err)
}

func (a *answerReader) head(req *http.Request, interim int) (*http.Response, error) {
	for n := 0; ; n++ {
		resp, err := http.ReadResponse(a.r, req)
		switch {
		case err != nil:
			return nil, err
		case !IsStatus(resp.StatusCode):
			return nil, errStatus
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
		if n >= interim {
			return nil, errInterim
		}
	}
}

// body reads the body; res is the reservation of the head, to which that of the body is added.
func (a *answerReader) body(resp *http.Response, limit int64, res Reservation) ([]byte, Reservation, error) {
	length := resp.ContentLength
	if resp.Body == http.NoBody {
		length = 0
	}
	body := bodyReader{limit: limit, res: res}
	a.meter.left, a.meter.tooLong = 2*limit+chunkOverheadBytes, ErrBodyTooLong
	if length < 0 && len(resp.TransferEncoding) > 0 {
		start := a.consumed()
		body.check = func(n int64) error {
			if overhead := a.consumed() - start - n; overhead > chunkOverheadBytes+n {
				return errChunkTooLong
			}
			return nil
		}
	}
	return body.readAll(resp.Body, length)
}

// consumed returns the number of bytes of the connection that have been parsed.
func (a *answerReader) consumed() int64 { return a.meter.read - int64(a.r.Buffered()) }

// IsStatus reports whether an answer can have a status. One below 100 is of no class: the answer is none. Those from 600 on are of
// no class either, but net/http passes them on; they count as failures of the server (RFC 9110, section 15), and reach the caller
// as the server sent them.
func IsStatus(n int) bool { return n >= http.StatusContinue && n <= maxStatus }

// maxStatus is the largest status of three digits.
const maxStatus = 999

// asMalformed wraps err in ErrMalformed, unless err means that the connection ended or that there is no room.
func asMalformed(err error) error {
	var ne net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrNoRoom) || errors.As(err, &ne) {
		return err
	}
	return errors.Wrap(ErrMalformed, err.Error())
}
