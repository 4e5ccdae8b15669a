// Package shed decides which searches a node refuses while the servers of their shards have more work than they can do in
// time. A search that is refused before its fan-out costs the servers nothing; one that fails because of a single full shard
// has used all others. It does no I/O, takes the time from its caller, and is not safe for concurrent use.
package shed

import (
	"math"
	"sort"
	"time"

	"sassafrasring.dev/sassafrasring/pkg/tier"
)

const (
	// stepInterval is the interval between two corrections of the share: the time in which the answers to searches that
	// were admitted with the last share begin to tell of it.
	stepInterval = 100 * time.Millisecond
	// minReports is the number of reports without which a step counts as idle.
	minReports = 8
	// wantedMean is the mean number of waiting requests per slot that the servers may have: the slowest of many shards, which
	// decides when a search ends, has several times the mean. wantedDecisive is that of the shard that decides when a search ends.
	wantedMean     = 0.5
	wantedDecisive = 1.0
	// wantedLate is the share of searches that may get the shards that they need late. Queues that delay no more searches than
	// that are no reason to refuse any: a few servers may be slow, or pause. One late search of a host with few does not reach it.
	wantedLate = 0.2
	// lateFrom is the share of the time until its target from which on a search counts as late: the queues must shrink before
	// searches miss their targets.
	lateFrom = 0.75
	// shardWeight is the weight of a report in the average of its shard, shardHalfLife the half-life of that average.
	shardWeight   = 0.25
	shardHalfLife = 400 * time.Millisecond
	// searchWeight is the weight of a search in the average of late ones, lateHalfLife the half-life of that average.
	searchWeight = 0.15
	lateHalfLife = 2 * time.Second
	// fullQueue is the queue per slot that stands for a refused request, and the most that one report counts.
	fullQueue = 4.0
	// maxCut bounds the relative reduction of the share in one step, recovery is its increase in one step without a queue:
	// the share is back to 1 within a second.
	maxCut   = 0.25
	recovery = 0.1
	// minShare keeps some searches going, whose answers tell when the queues are gone.
	minShare = 0.05
	// lateWeight is the exponent that a request gets on top when it can only be late: it takes room of those in time.
	lateWeight = 2
	// minRetryAfter is the time in which most queues that a refusal stands for are gone.
	minRetryAfter = 300 * time.Millisecond
	// maxRank bounds the ranks that are told apart.
	maxRank = 8
)

// Gate admits a share of the searches over one group of shards: all of them while the servers' queues are short. All nodes
// learn from the reports of the same servers, so that they refuse alike without telling each other.
type Gate struct {
	stepAt  time.Duration
	sum     float64
	reports int
	shards  []average
	sorted  []float64
	// levels hold the share of the most urgent requests that is admitted, by the number of shards that an answer may lack.
	levels map[int]*level
	// ranks tells which ranks are present: less urgent ones yield to them.
	ranks [maxRank]presence
	// tenants divides what is admitted between tenants.
	tenants fair
}

// presence tells until when requests of a rank count as present, and how many shards their answers may lack.
type presence struct {
	until time.Duration
	spare int
}

// level is the state of the requests whose answers may lack the same number of shards.
type level struct {
	share float64
	// late is the share of searches that had the shards that they need late, or not at all.
	late average
	// deficits carry the fractions of refused requests over, by weight, so that the share holds with few requests too, and a share
	// that is short of 1 for a moment refuses none.
	deficits [maxRank + lateWeight]float64
}

// average is a moving average that decays to 0.
type average struct {
	value float64
	at    time.Duration
}

func (a *average) add(now time.Duration, v, weight float64, halfLife time.Duration) {
	old := a.current(now, halfLife)
	a.value, a.at = old+(v-old)*weight, now
}

// current returns the average, which halves in each half-life without a report.
func (a *average) current(now, halfLife time.Duration) float64 {
	return a.value * math.Exp2(-float64(now-a.at)/float64(halfLife))
}

// Request is a search that asks for admission.
type Request struct {
	// Rank is its priority; 0 is the most urgent.
	Rank int
	// Spare is the number of shards that its answer may lack.
	Spare int
	// Tenant is the caller's tenant, or "". Tenants share what is admitted by Weight; 0 stands for the mean.
	Tenant tier.Tenant
	Weight float64
	// Late is set if its answer can only come after the caller's target.
	Late bool
}

// Start opens the gate of searches over a number of shards.
func (g *Gate) Start(now time.Duration, shards int) {
	*g = Gate{stepAt: now, shards: make([]average, shards), levels: map[int]*level{}}
}

// Queue records the queue per slot that a server of a shard reported with an answer.
func (g *Gate) Queue(now time.Duration, shard int, perSlot float64) {
	g.step(now)
	queue := min(perSlot, fullQueue)
	g.sum += queue
	g.reports++
	if shard < len(g.shards) {
		g.shards[shard].add(now, queue, shardWeight, shardHalfLife)
	}
}

// Refused records that a server of a shard refused a request for lack of room.
func (g *Gate) Refused(now time.Duration, shard int) { g.Queue(now, shard, fullQueue) }

// FailedTime is the time of a search that did not get the shards that it needs.
const FailedTime = math.MaxFloat64

// Finished records when an admitted search had the shards that it needs, as a share of the time until its target.
func (g *Gate) Finished(now time.Duration, spare int, share float64) {
	v := 0.0
	if share > lateFrom {
		v = 1
	}
	g.level(spare).late.add(now, v, searchWeight, lateHalfLife)
}

// step corrects the levels by the reports since the last step.
func (g *Gate) step(now time.Duration) {
	steps := int((now - g.stepAt) / stepInterval)
	if steps == 0 {
		return
	}
	g.stepAt += time.Duration(steps) * stepInterval
	mean := 0.0
	if g.reports >= minReports {
		mean = g.sum / float64(g.reports)
	}
	g.sum, g.reports = 0, 0
	g.sorted = g.sorted[:0]
	for i := range g.shards {
		g.sorted = append(g.sorted, g.shards[i].current(now, shardHalfLife))
	}
	sort.Float64s(g.sorted)
	for spare, l := range g.levels {
		decisive := g.sorted[max(0, len(g.sorted)-1-spare)]
		queues := max(mean/wantedMean, decisive/wantedDecisive)
		l.correct(min(queues, l.late.current(now, lateHalfLife)/wantedLate))
		if steps > 1 {
			l.share = min(1, l.share+recovery*float64(steps-1))
		}
	}
}

// correct moves the share by the ratio of the queues to the wanted ones.
func (l *level) correct(ratio float64) {
	if ratio > 1 {
		l.share = max(minShare, l.share*(1-maxCut*min(1, ratio-1)))
		return
	}
	l.share = min(1, l.share+recovery*(1-ratio))
}

func (g *Gate) level(spare int) *level {
	l := g.levels[spare]
	if l == nil {
		l = &level{share: 1}
		g.levels[spare] = l
	}
	return l
}

// Share returns the share that is admitted of the most urgent requests whose answers may lack a number of shards.
func (g *Gate) Share(now time.Duration, spare int) float64 {
	g.step(now)
	return g.level(spare).share
}

// LeastShare returns the least of the shares.
func (g *Gate) LeastShare(now time.Duration) float64 {
	g.step(now)
	least := 1.0
	for _, l := range g.levels {
		least = min(least, l.share)
	}
	return least
}

// RetryAfter returns when a refused caller may be served: once the level has recovered, if the load falls now.
func (g *Gate) RetryAfter(now time.Duration, spare int) time.Duration {
	return minRetryAfter + time.Duration((1-g.Share(now, spare))/recovery)*stepInterval
}

// Admit decides about one search.
func (g *Gate) Admit(now time.Duration, r Request) bool {
	g.step(now)
	share, weight := g.admitted(now, r)
	if r.Tenant != "" {
		share = g.tenants.ask(now, r.Tenant, r.Weight, share)
	}
	deficit := &g.level(r.Spare).deficits[weight-1]
	if share == 1 {
		*deficit = 0
		return true
	}
	if *deficit += 1 - math.Pow(share, float64(weight)); *deficit < 1 {
		return true
	}
	*deficit--
	return false
}

// rankMemory is how long a rank counts as present after a request of it.
const rankMemory = time.Second

// admitted returns the share that is admitted of the most urgent requests, and the exponent of it that gives the share of r:
// 1 for the most urgent rank present, one more for each less urgent one. A less urgent request is admitted no more often than
// the more urgent ones, also if it needs fewer shards.
func (g *Gate) admitted(now time.Duration, r Request) (share float64, weight int) {
	rank := min(max(r.Rank, 0), maxRank-1)
	g.ranks[rank] = presence{until: now + rankMemory, spare: r.Spare}
	share, weight = g.level(r.Spare).share, 1
	for _, p := range g.ranks[:rank] {
		if p.until > now {
			share = min(share, g.level(p.spare).share)
			weight++
		}
	}
	if r.Late {
		weight += lateWeight
	}
	return share, weight
}
