package edge

import (
	"github.com/sirupsen/logrus"

	"sassafrasring.dev/sassafrasring/internal/conn"
	"sassafrasring.dev/sassafrasring/internal/proc/event"
)

// answerDiscarded logs and counts what a server sent that answers no waiting request.
func (n *Node) answerDiscarded(s conn.Stray) {
	n.Stats.Count("stray_answers", string(s.Server)+"/"+string(s.Kind))
	if n.strayLog.Allow(n.Clock.Now()) {
		event.AnswerDiscarded.Log(n.Log, nil, logrus.Fields{
			"server": s.Server, "conn": s.Use.Conn, "place": s.Use.Place, "request": s.Request, "kind": s.Kind, "answer": s.Answer, "earlier": s.Earlier, "status": s.Status,
		})
	}
}

// requestRepeated logs and counts a request whose ID a connection has carried before.
func (n *Node) requestRepeated(r conn.Repeat) {
	n.Stats.Count("ids_repeated", string(r.Server))
	if n.strayLog.Allow(n.Clock.Now()) {
		event.RequestRepeated.Log(n.Log, nil, logrus.Fields{"server": r.Server, "conn": r.Conn, "request": r.Request})
	}
}
