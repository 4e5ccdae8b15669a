package quota

import "time"

// Classes of voters, best first.
const (
	classSelf = iota
	classNear
	classFar
	classSilent
	classAvoided
	classNone
)

// choose returns the voter to ask next for a tenant, or nil. Voters that do not answer are asked again only if no other one
// has answered; for requests to come (ahead), not at all.
func (p *Pool) choose(now time.Duration, a *account, ahead bool) *voter {
	var best *voter
	bestClass, ties := classNone, 0
	for _, v := range p.voters {
		class := p.class(now, a, v)
		if ahead && class > classFar || class == classAvoided && len(a.empty) > 0 {
			continue
		}
		if class < bestClass {
			best, bestClass, ties = v, class, 0
		}
		if class == bestClass && class < classNone {
			if ties++; p.Rand.IntN(ties) == 0 {
				best = v
			}
		}
	}
	return best
}

func (p *Pool) class(now time.Duration, a *account, v *voter) int {
	if e, ok := a.empty[v.ID]; ok && now < e.ask || a.asked[v.ID] {
		return classNone
	}
	switch {
	case now < v.absentUntil:
		return classNone
	case now < v.avoidUntil:
		return classAvoided
	case v.silent:
		return classSilent
	case v.ID == p.Self:
		return classSelf
	case v.near:
		return classNear
	}
	return classFar
}
