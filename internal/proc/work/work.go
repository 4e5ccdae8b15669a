// Package work runs tasks on a pool of goroutines that are reused while idle.
package work

import (
	"context"
	"sync"
	"time"
)

// idleTimeout is how long a worker waits for another task before it ends.
const idleTimeout = 10 * time.Second

// Pool runs tasks on worker goroutines. A task that finds no idle worker starts a new one; their number is not
// limited.
type Pool struct {
	tasks   chan func()
	ctx     context.Context
	workers sync.WaitGroup
}

// Start initializes the pool. Once ctx is canceled, workers end after their current task.
func (p *Pool) Start(ctx context.Context) {
	p.ctx = ctx
	p.tasks = make(chan func())
}

// Go runs f on a worker and returns without waiting for it.
func (p *Pool) Go(f func()) {
	select {
	case p.tasks <- f:
	default:
		p.workers.Add(1)
		go p.worker(f)
	}
}

func (p *Pool) worker(f func()) {
	defer p.workers.Done()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		f()
		idle.Reset(idleTimeout)
		select {
		case f = <-p.tasks:
		case <-idle.C:
			return
		case <-p.ctx.Done():
			return
		}
	}
}

// Wait returns when all workers have ended.
func (p *Pool) Wait() { p.workers.Wait() }
