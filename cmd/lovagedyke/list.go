package main

import (
	"context"
	"flag"

	"github.com/lovagedyke/lovagedyke/pkg/client"
)

// listCommand fetches a value from a manager and prints it as a table or as
// JSON.
type listCommand[Value any] struct {
	header []string
	fetch  func(managerClient *client.Client, ctx context.Context) (Value, error)
	rows   func(value Value) [][]string
}

// setup registers the flags and returns the action.
func (l listCommand[Value]) setup(flags *flag.FlagSet, env *Env) Action {
	var conn connectionFlags
	var out outputFlags
	conn.register(flags, env)
	out.register(flags)
	return func(ctx context.Context, env *Env, _ []string) error {
		managerClient, err := conn.client()
		if err != nil {
			return err
		}
		value, err := l.fetch(managerClient, ctx)
		if err != nil {
			return err
		}
		return out.render(env.Stdout, value, l.header, l.rows(value))
	}
}
