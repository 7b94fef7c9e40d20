package calibration

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"monsoonkeel.example/monsoonkeel/internal/enginemodel"
)

// Guards against a replay that isn't deterministic and a comparison that shows no difference
// for an engine that prefills prompts in chunks of another size.
func TestModelReproducesOnlyItself(t *testing.T) {
	for _, load := range LoadLevels {
		generations, err := Recording(load)
		require.NoError(t, err)
		require.NotEmpty(t, generations)
		simulated, err := Replay(enginemodel.ProductionParams(), enginemodel.ProductionEventTokens, generations)
		require.NoError(t, err)
		resimulated, err := Replay(enginemodel.ProductionParams(), enginemodel.ProductionEventTokens, simulated)
		require.NoError(t, err)
		for _, row := range Compare(load, simulated, resimulated) {
			assert.Zero(t, row.RelativeError, "%s %s", load, row.Quantity)
			assert.Zero(t, row.MedianAbsoluteErrorMS, "%s %s", load, row.Quantity)
		}
		unchunked := enginemodel.ProductionParams()
		unchunked.StepTokens = enginemodel.DefaultStepTokens
		other, err := Replay(unchunked, enginemodel.ProductionEventTokens, simulated)
		require.NoError(t, err)
		assert.Negative(t, Compare(load, simulated, other)[0].RelativeError, "prompts prefilled in one step must be faster")
	}
}

// Guards against wrong times on an idle engine, which prefills a prompt in chunks of one step
// each and then generates the tokens of the first event.
func TestSingleGenerationTimes(t *testing.T) {
	p := enginemodel.ProductionParams()
	p.StepPerContext, p.StepPerRequest = 0, 0
	out, err := Replay(p, 4, []Generation{{Prompt: 2 * p.StepTokens, Output: 8}})
	require.NoError(t, err)
	// The step of the last chunk produces the first token.
	first := 2*(p.StepBase+time.Duration(p.StepTokens)*p.StepPerPrefill) + 3*p.StepBase
	assert.InDelta(t, float64(first), float64(out[0].FirstEvent), float64(time.Millisecond))
	assert.Equal(t, 4*p.StepBase, out[0].MeanEventGap)
}

// Guards against a malformed record being read as a generation, and against columns assigned to the
// wrong field or unit.
func TestReadCSVRejectsMalformedRecords(t *testing.T) {
	const header = "arrival_ms,engine,prompt_tokens,output_tokens,first_event_ms,event_gap_ms\n"
	for _, text := range []string{header + "1,2,3\n", header + "1,2,3,4,5,x\n", header + "-1,2,3,4,5,6\n"} {
		_, err := ReadCSV(strings.NewReader(text))
		assert.True(t, Error.Has(err), "%q: %v", text, err)
	}
	generations, err := ReadCSV(strings.NewReader(header + "20,1,300,40,50.5,7\n10,2,3,4,5,6\n"))
	require.NoError(t, err)
	require.Len(t, generations, 2)
	assert.Equal(t, Generation{
		Arrival: 20 * time.Millisecond, Engine: 1, Prompt: 300, Output: 40, FirstEvent: 50500 * time.Microsecond, MeanEventGap: 7 * time.Millisecond,
	}, generations[1])
	_, err = Recording("none")
	assert.Error(t, err)
}

// Guards against a plot that is not written or is empty.
func TestWritePlot(t *testing.T) {
	generations, err := Recording("low")
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, WritePlot(dir, []Series{{Load: "low", Measured: generations, Model: generations}}))
	info, err := os.Stat(filepath.Join(dir, "engine-model.png"))
	require.NoError(t, err)
	assert.Positive(t, info.Size())
}
