package side_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/policy/admit"
	"github.com/figwick/figwick/internal/proxy/side"
)

func TestParseLimit(t *testing.T) {
	named := func(perSecond float64) admit.Limit { return admit.Limit{Named: true, PerSecond: perSecond} }
	unreadable := admit.Limit{Unreadable: true}
	for _, c := range []struct {
		values []string
		want   admit.Limit
	}{
		{nil, admit.Limit{}},
		{[]string{"12"}, named(12)},
		{[]string{"0.25"}, named(0.25)},
		{[]string{"0"}, named(0)},
		{[]string{"3", "2.5"}, named(2.5)},
		{[]string{"2.5", "2.5"}, named(2.5)},
		{[]string{""}, unreadable},
		{[]string{"-1"}, unreadable},
		{[]string{"+1"}, unreadable},
		{[]string{"NaN"}, unreadable},
		{[]string{"Inf"}, unreadable},
		{[]string{"1e308"}, unreadable},
		{[]string{"0x10"}, unreadable},
		{[]string{"1_000"}, unreadable},
		{[]string{"3, 5"}, unreadable},
		{[]string{"1.2.3"}, unreadable},
		{[]string{"."}, unreadable},
		{[]string{"٣"}, unreadable},
		{[]string{strings.Repeat("9", 400)}, unreadable},
		{[]string{"3", "many"}, unreadable},
	} {
		assert.DeepEqual(t, side.ParseLimit(c.values), c.want)
	}
}

func TestNativeNotice(t *testing.T) {
	r := &http.Response{Header: http.Header{"Figwick-Leaving": {"1"}, "Figwick-Rate-Limit": {"2"}, "Other": {"x"}}}
	assert.DeepEqual(t, side.NativeHeaders{}.Notice(r), admit.Notice{Leaving: true, Limit: admit.Limit{Named: true, PerSecond: 2}})
	assert.DeepEqual(t, r.Header, http.Header{"Other": {"x"}})
}
