package policy_test

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/lovagedyke/lovagedyke/internal/policy"
)

func TestMatch(t *testing.T) {
	current := policy.New(policy.Config{Queues: []policy.Queue{
		{Name: "short", HostName: "a.example", PathPrefix: "/x/"},
		{Name: "long", HostName: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", HostName: "b.example", PathPrefix: "/x/"},
	}})
	cases := map[string]struct{ host, path, want string }{
		"short prefix":  {"a.example", "/x/1", "short"},
		"long prefix":   {"a.example", "/x/y/1", "long"},
		"other host":    {"b.example", "/x/y/1", "other"},
		"no prefix":     {"a.example", "/z/1", ""},
		"no host":       {"c.example", "/x/1", ""},
		"prefix itself": {"a.example", "/x/", "short"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			queue, ok := current.Match(c.host, c.path)
			if queue.Name != c.want || ok != (c.want != "") {
				t.Errorf("queue: got %q (%t), want %q", queue.Name, ok, c.want)
			}
		})
	}
}

func TestKeys(t *testing.T) {
	current := policy.New(policy.Config{Accounts: []policy.Account{{Name: "shop", Keys: []string{"k1", "k2"}}, {Name: "none", Keys: []string{""}}}})
	for key, want := range map[string]string{"k1": "shop", "k2": "shop", "k3": "", "": ""} {
		got, ok := current.AccountByKey(key)
		if ok != (want != "") || ok && got != want {
			t.Errorf("account of %q: got %q (%t), want %q", key, got, ok, want)
		}
	}
}

type silent struct{}

func (silent) Info(string, ...any) {}

func TestHolderNeverGoesBack(t *testing.T) {
	var changes []uint64
	holder := policy.NewHolder(policy.HolderConfig{
		Decode: func(value []byte) (*policy.Policy, error) {
			if value[0] == 'x' {
				return nil, errors.New("not a configuration")
			}
			return policy.New(policy.Config{Version: uint64(value[0] - '0')}), nil
		},
		OnChange: func(current *policy.Policy, _ bool) { changes = append(changes, current.Version) },
		Journal:  silent{},
	})
	for _, value := range []string{"3", "2", "x", "", "3", "5"} {
		holder.Update([]byte(value), policy.SourceStore)
	}
	if len(changes) != 2 || changes[0] != 3 || changes[1] != 5 {
		t.Errorf("versions in force: got %v, want 3 and 5", changes)
	}
	if version, value := holder.NewerThan(4); version != 5 || string(value) != "5" {
		t.Errorf("newer than 4: got %d %q, want 5", version, value)
	}
	if _, value := holder.NewerThan(5); value != nil {
		t.Errorf("newer than 5: got %q, want none", value)
	}
}
