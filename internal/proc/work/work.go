// Package work runs tasks on a pool of workers that are reused while idle.
package work

import (
	"context"
	"sync"
	"time"
)

// idleLimit is how long an idle worker is kept.
const idleLimit = 10 * time.Second

// Pool runs tasks. A task that finds no idle worker starts one.
type Pool struct {
	tasks chan func()
	ctx   context.Context
	wait  sync.WaitGroup
}

// Start readies the pool; workers end when ctx does.
func (p *Pool) Start(ctx context.Context) {
	p.ctx = ctx
	p.tasks = make(chan func())
}

// Go runs f on a worker.
func (p *Pool) Go(f func()) {
	select {
	case p.tasks <- f:
	default:
		p.wait.Add(1)
		go p.worker(f)
	}
}

func (p *Pool) worker(f func()) {
	defer p.wait.Done()
	idle := time.NewTimer(idleLimit)
	defer idle.Stop()
	for {
		f()
		idle.Reset(idleLimit)
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
func (p *Pool) Wait() { p.wait.Wait() }
