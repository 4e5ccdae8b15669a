package work

import (
	"context"

	"github.com/oklog/run"
)

// Add adds f to g. The context of f is canceled when ctx is, or when another function of the group returns.
func Add(ctx context.Context, g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}
