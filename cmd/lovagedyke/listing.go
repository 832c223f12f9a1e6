package main

import (
	"context"
	"flag"

	"github.com/lovagedyke/lovagedyke/pkg/client"
)

// listing is a command that asks a manager for a value and prints it as a
// table or as JSON.
type listing[Value any] struct {
	header []string
	fetch  func(managers *client.Client, ctx context.Context) (Value, error)
	rows   func(value Value) [][]string
}

// setup declares the flags and returns the action.
func (l listing[Value]) setup(flags *flag.FlagSet, env *Env) Action {
	var conn connection
	var out output
	conn.declare(flags, env)
	out.declare(flags)
	return func(ctx context.Context, env *Env, _ []string) error {
		managers, err := conn.client()
		if err != nil {
			return err
		}
		value, err := l.fetch(managers, ctx)
		if err != nil {
			return err
		}
		return out.write(env.Stdout, value, l.header, l.rows(value))
	}
}
