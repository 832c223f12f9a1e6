package main

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

func TestInvalidFlags(t *testing.T) {
	for name, tc := range map[string]struct {
		args []string
		want string
	}{
		"seeds":      {[]string{"share", "--seeds", "0"}, "--seeds is 0"},
		"output":     {[]string{"route", "--output", "xml"}, `--output is "xml"`},
		"deployment": {[]string{"all", "--deployment", "atlantis"}, `--deployment is "atlantis"`},
	} {
		t.Run(name, func(t *testing.T) {
			err := newRootCommand(&bytes.Buffer{}).ParseAndRun(context.Background(), tc.args)
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got error %v, want one with %q", err, tc.want)
			}
		})
	}
}
