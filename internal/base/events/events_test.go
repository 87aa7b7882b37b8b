package events_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figwick/figwick/internal/base/events"
)

// TestCatalogueIsDocumented checks that docs/EVENTS.md lists exactly the events of
// the catalogue, and that the catalogue is sorted by number.
func TestCatalogueIsDocumented(t *testing.T) {
	text, err := os.ReadFile("../../../docs/EVENTS.md")
	assert.NilError(t, err)
	last := events.Number(0)
	for _, e := range events.All() {
		assert.Check(t, e.Number > last, "%d is not in order", e.Number)
		last = e.Number
		row := fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Name, e.Level, e.Meaning)
		assert.Check(t, strings.Contains(string(text), row), "docs/EVENTS.md lacks %q", row)
	}
	assert.Equal(t, strings.Count(string(text), "\n| "), len(events.All())+2)
}
