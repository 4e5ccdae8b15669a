package setup

import "sassafrasring.dev/sassafrasring/internal/conn"

// Answers holds the limits on servers' answers.
type Answers struct {
	HeadBytes int   `json:"head_bytes" doc:"Largest status line and header, together with the interim (1xx) answers before them." unit:"bytes" allow:"1024 to 1048576" default:"16384"`
	Interim   int   `json:"interim" doc:"Largest number of interim answers." allow:"0 to 1000" default:"16"`
	BodyBytes int64 `json:"body_bytes" doc:"Largest body; a part of a search over shards may have 64 times the records of the merged answer, and 64 KiB at least." unit:"bytes" allow:"1024 to 67108864" default:"16777216"`
	HeldBytes int64 `json:"held_bytes" doc:"Largest sum of the bodies that the process holds at a time, beyond 4 KiB of each; an eighth of the memory limit at most." unit:"bytes" allow:"1048576 to 17179869184" default:"33554432"`
}

// AnswerDefaults returns the default limits.
func AnswerDefaults() Answers {
	return Answers{HeadBytes: conn.DefaultHeadBytes, Interim: conn.DefaultInterim, BodyBytes: conn.MaxAnswerBytes, HeldBytes: conn.DefaultHeldBytes}
}

// Limits returns the limits of one answer.
func (a Answers) Limits() conn.AnswerLimits {
	return conn.AnswerLimits{HeadBytes: a.HeadBytes, Interim: a.Interim, BodyBytes: a.BodyBytes}
}

const (
	maxAnswerBody = 64 << 20
	maxHeld       = 16 << 30
)

func (c *checker) answers(a Answers) {
	c.number("answers.head_bytes", int64(a.HeadBytes), 1024, 1<<20)
	c.number("answers.interim", int64(a.Interim), 0, 1000)
	c.number("answers.body_bytes", a.BodyBytes, 1024, maxAnswerBody)
	c.number("answers.held_bytes", a.HeldBytes, 1<<20, maxHeld)
}
