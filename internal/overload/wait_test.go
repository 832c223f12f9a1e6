package overload

import (
	"testing"
	"time"
)

// Guards against a backlog that seems to take no time since its duration exceeds the largest one:
// hosts that persistent tasks fill leave a rounding error of their number.
func TestBacklogWait(t *testing.T) {
	tests := map[string]struct {
		backlog Backlog
		want    time.Duration
	}{
		"no work":         {backlog: Backlog{Hosts: 2}},
		"some work":       {backlog: Backlog{Hosts: 2, HostSeconds: 3}, want: 1500 * time.Millisecond},
		"much work":       {backlog: Backlog{Hosts: 2, HostSeconds: 1e6}, want: maxWait},
		"no host":         {backlog: Backlog{HostSeconds: 3}, want: maxWait},
		"less than none":  {backlog: Backlog{Hosts: -1, HostSeconds: 3}, want: maxWait},
		"rounding errors": {backlog: Backlog{Hosts: 1e-16, HostSeconds: 3}, want: maxWait},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.backlog.wait(); got != test.want {
				t.Errorf("wait: got %s, want %s", got, test.want)
			}
		})
	}
}
