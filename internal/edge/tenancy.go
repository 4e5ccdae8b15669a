package edge

import (
	"time"

	"sassafrasring.dev/sassafrasring/internal/vers"
)

// ProofStatus is a node's currency proof in its report to operators.
type ProofStatus struct {
	// Strict is set if requests with keys are refused without a proof.
	Strict bool `json:"strict"`
	Held   bool `json:"held"`
	// LeftMs is the time until the proof expires, Version the newest routing table that the control group has stated.
	LeftMs  int64              `json:"left_ms"`
	Version vers.RoutesVersion `json:"version"`
}

// QuotaStatus is a node's part of the tenants' quotas in its report to operators.
type QuotaStatus struct {
	// Granting is set on a control host that has a share of the limits.
	Granting bool `json:"granting"`
	// Tokens is the number of tokens that the node holds for requests to come.
	Tokens int `json:"tokens"`
}

// proofStatus returns the report on the currency proof, or nil if the node needs none.
func (n *Node) proofStatus() *ProofStatus {
	if !n.needsProof() {
		return nil
	}
	left := time.Duration(n.currency.expiry.Load()) - n.LeaseClock.Now()
	s := &ProofStatus{Strict: n.currency.strict, Held: left > 0, LeftMs: max(0, left.Milliseconds())}
	n.currency.mu.Lock()
	defer n.currency.mu.Unlock()
	s.Version = n.currency.holder.Version()
	return s
}

// quotaStatus returns the report on the tenants' quotas, or nil if no tenant has a limit.
func (n *Node) quotaStatus() *QuotaStatus {
	q := n.quotas
	if !q.limited.Load() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return &QuotaStatus{Granting: q.granting, Tokens: q.pool.Held()}
}
