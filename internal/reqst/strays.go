package reqst

import (
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
	"sassafrasring.dev/sassafrasring/internal/proc/stats"
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// Strays logs and counts what servers send that answers no waiting request, and requests that could be taken for others. It is
// safe for concurrent use.
type Strays struct {
	Log   *logrus.Logger
	Stats *stats.Registry
	Clock tier.Clock

	limit event.Limit
}

// AnswerDiscarded logs and counts what a server sent that answers no waiting request.
func (s *Strays) AnswerDiscarded(a conn.Stray) {
	s.Stats.Count("stray_answers", string(a.Server)+"/"+string(a.Kind))
	if s.limit.Allow(s.Clock.Now()) {
		event.AnswerDiscarded.Log(s.Log, nil, logrus.Fields{
			"server": a.Server, "conn": a.Use.Conn, "place": a.Use.Place, "request": a.Request, "kind": a.Kind, "answer": a.Answer, "earlier": a.Earlier, "status": a.Status,
		})
	}
}

// RequestRepeated logs and counts a request whose ID a connection has carried before.
func (s *Strays) RequestRepeated(r conn.Repeat) {
	s.Stats.Count("ids_repeated", string(r.Server))
	if s.limit.Allow(s.Clock.Now()) {
		event.RequestRepeated.Log(s.Log, nil, logrus.Fields{"server": r.Server, "conn": r.Conn, "request": r.Request})
	}
}
