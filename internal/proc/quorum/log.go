package quorum

import (
	"sassafrasring.dev/sassafrasring/pkg/tier"
)

// memLog holds in memory the log entries after the newest snapshot.
type memLog struct {
	snapIndex tier.Index
	snapTerm  tier.Term
	entries   []Entry
}

func (l *memLog) last() tier.Index { return l.snapIndex + tier.Index(len(l.entries)) }

func (l *memLog) lastTerm() tier.Term {
	if len(l.entries) == 0 {
		return l.snapTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at i; ok is false if i is compacted or beyond the end.
func (l *memLog) term(i tier.Index) (t tier.Term, ok bool) {
	if i == l.snapIndex {
		return l.snapTerm, true
	}
	if i < l.snapIndex || i > l.last() {
		return 0, false
	}
	return l.entries[i-l.snapIndex-1].Term, true
}

// slice returns a copy of at most limit entries, starting at index from.
func (l *memLog) slice(from tier.Index, limit int) []Entry {
	if from > l.last() {
		return nil
	}
	s := l.entries[from-l.snapIndex-1:]
	if len(s) > limit {
		s = s[:limit]
	}
	return append([]Entry(nil), s...)
}

func (l *memLog) append(es ...Entry) { l.entries = append(l.entries, es...) }

// truncate drops the entries with index from and above.
func (l *memLog) truncate(from tier.Index) {
	l.entries = l.entries[:from-l.snapIndex-1]
}

// compact drops the entries up to and including i.
func (l *memLog) compact(i tier.Index) {
	t, ok := l.term(i)
	if !ok || i <= l.snapIndex {
		return
	}
	l.entries = append([]Entry(nil), l.entries[i-l.snapIndex:]...)
	l.snapIndex, l.snapTerm = i, t
}

// reset empties the log and sets the snapshot index and term that it starts from.
func (l *memLog) reset(i tier.Index, t tier.Term) {
	l.snapIndex, l.snapTerm, l.entries = i, t, nil
}
