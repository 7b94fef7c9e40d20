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

// A record that the model itself made must be matched exactly, and one of an
// engine that reads prompts in other pieces must not be.
func TestTheModelMatchesItselfOnly(t *testing.T) {
	for _, load := range LoadLevels {
		runs, err := Recording(load)
		require.NoError(t, err)
		require.NotEmpty(t, runs)
		made, err := Replay(enginemodel.ProductionParams(), enginemodel.ProductionEventTokens, runs)
		require.NoError(t, err)
		again, err := Replay(enginemodel.ProductionParams(), enginemodel.ProductionEventTokens, made)
		require.NoError(t, err)
		for _, row := range Compare(load, made, again) {
			assert.Zero(t, row.RelativeError, "%s %s", load, row.Quantity)
			assert.Zero(t, row.MedianAbsoluteErrorMS, "%s %s", load, row.Quantity)
		}
		whole := enginemodel.ProductionParams()
		whole.StepTokens = enginemodel.DefaultStepTokens
		other, err := Replay(whole, enginemodel.ProductionEventTokens, made)
		require.NoError(t, err)
		assert.Negative(t, Compare(load, made, other)[0].RelativeError, "prompts in one piece are read sooner")
	}
}

// A prompt on an idle engine is read in chunks, each a step; then come the tokens
// of the first event.
func TestTimesOfASingleRun(t *testing.T) {
	p := enginemodel.ProductionParams()
	p.StepPerContext, p.StepPerRequest = 0, 0
	out, err := Replay(p, 4, []Generation{{Prompt: 2 * p.StepTokens, Output: 8}})
	require.NoError(t, err)
	// The last chunk's step makes the first token.
	first := 2*(p.StepBase+time.Duration(p.StepTokens)*p.StepPerPrefill) + 3*p.StepBase
	assert.InDelta(t, float64(first), float64(out[0].FirstEvent), float64(time.Millisecond))
	assert.Equal(t, 4*p.StepBase, out[0].MeanEventGap)
}

func TestReadRejectsMalformedRecords(t *testing.T) {
	const head = "arrival_ms,engine,prompt_tokens,output_tokens,first_event_ms,event_gap_ms\n"
	for _, text := range []string{head + "1,2,3\n", head + "1,2,3,4,5,x\n", head + "-1,2,3,4,5,6\n"} {
		_, err := ReadCSV(strings.NewReader(text))
		assert.True(t, Error.Has(err), "%q: %v", text, err)
	}
	runs, err := ReadCSV(strings.NewReader(head + "20,1,300,40,50.5,7\n10,2,3,4,5,6\n"))
	require.NoError(t, err)
	require.Len(t, runs, 2)
	assert.Equal(t, Generation{
		Arrival: 20 * time.Millisecond, Engine: 1, Prompt: 300, Output: 40, FirstEvent: 50500 * time.Microsecond, MeanEventGap: 7 * time.Millisecond,
	}, runs[1])
	_, err = Recording("none")
	assert.Error(t, err)
}

func TestWritePlot(t *testing.T) {
	runs, err := Recording("low")
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, WritePlot(dir, []Series{{Load: "low", Measured: runs, Model: runs}}))
	info, err := os.Stat(filepath.Join(dir, "engine-model.png"))
	require.NoError(t, err)
	assert.Positive(t, info.Size())
}
