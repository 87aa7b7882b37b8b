package fence_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/policy/fence"
)

var (
	now         = time.Unix(1_000_000, 0)
	startBefore = now.Add(5 * time.Second)
)

func TestFates(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(t *testing.T, f *fence.Table)
	}{
		{"a fence that precedes the attempt stops it", func(t *testing.T, f *fence.Table) {
			fate, _ := f.Fence(now, "a", startBefore)
			assert.Equal(t, fate, fence.NotStarted)
			assert.Equal(t, f.Admit(now, "a", startBefore), fence.Fenced)
		}},
		{"a fence stops a waiting attempt", func(t *testing.T, f *fence.Table) {
			assert.Equal(t, f.Admit(now, "a", startBefore), fence.Admitted)
			fate, _ := f.Fence(now, "a", startBefore)
			assert.Equal(t, fate, fence.NotStarted)
			assert.Equal(t, f.Start(now, "a"), fence.Fenced)
		}},
		{"a started attempt is reported as running", func(t *testing.T, f *fence.Table) {
			f.Admit(now, "a", startBefore)
			assert.Equal(t, f.Start(now, "a"), fence.Started)
			fate, _ := f.Fence(now, "a", startBefore)
			assert.Equal(t, fate, fence.Running)
		}},
		{"an attempt starts once", func(t *testing.T, f *fence.Table) {
			f.Admit(now, "a", startBefore)
			assert.Equal(t, f.Start(now, "a"), fence.Started)
			assert.Equal(t, f.Start(now, "a"), fence.Duplicate)
			assert.Equal(t, f.Admit(now, "a", startBefore), fence.Duplicate)
		}},
		{"a paused sidecar starts nothing late", func(t *testing.T, f *fence.Table) {
			f.Admit(now, "a", startBefore)
			assert.Equal(t, f.Start(startBefore, "a"), fence.Late)
			fate, _ := f.Fence(startBefore, "a", startBefore)
			assert.Equal(t, fate, fence.NotStarted)
		}},
		{"an attempt that arrives late is not admitted", func(t *testing.T, f *fence.Table) {
			assert.Equal(t, f.Admit(startBefore, "a", startBefore), fence.Late)
		}},
		{"an answer is kept until it is released", func(t *testing.T, f *fence.Table) {
			f.Admit(now, "a", startBefore)
			f.Start(now, "a")
			f.Finish(now, "a", &fence.Answer{Value: "whole", Size: 5})
			fate, answer := f.Fence(now, "a", startBefore)
			assert.Equal(t, fate, fence.Answered)
			assert.Equal(t, answer.Value, "whole")
			f.Release("a")
			assert.Equal(t, f.KeptBytes(), 0)
			fate, answer = f.Fence(now, "a", startBefore)
			assert.Equal(t, fate, fence.Answered)
			assert.Check(t, answer == nil)
		}},
		{"a reverted start counts as not started", func(t *testing.T, f *fence.Table) {
			f.Admit(now, "a", startBefore)
			f.Start(now, "a")
			f.RevertStart("a")
			fate, _ := f.Fence(now, "a", startBefore)
			assert.Equal(t, fate, fence.NotStarted)
		}},
		{"a started attempt is remembered for the retention", func(t *testing.T, f *fence.Table) {
			f.Admit(now, "a", startBefore)
			f.Start(now, "a")
			f.Finish(now, "a", nil)
			f.Expire(startBefore.Add(fence.Retention - time.Second))
			fate, _ := f.Fence(startBefore.Add(fence.Retention-time.Second), "a", startBefore)
			assert.Equal(t, fate, fence.Answered)
		}},
		{"a forgotten attempt is not reported as not started", func(t *testing.T, f *fence.Table) {
			f.Admit(now, "a", startBefore)
			f.Start(now, "a")
			f.Finish(now, "a", nil)
			late := startBefore.Add(2 * fence.Retention)
			f.Expire(late)
			assert.Equal(t, f.Len(), 0)
			fate, _ := f.Fence(late, "a", startBefore)
			assert.Equal(t, fate, fence.Forgotten)
		}},
		{"a running attempt is never forgotten", func(t *testing.T, f *fence.Table) {
			f.Admit(now, "a", startBefore)
			f.Start(now, "a")
			late := startBefore.Add(time.Hour)
			f.Expire(late)
			fate, _ := f.Fence(late, "a", startBefore)
			assert.Equal(t, fate, fence.Running)
		}},
	} {
		t.Run(c.name, func(t *testing.T) { c.run(t, &fence.Table{}) })
	}
}
