package httpapi

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// EngineControl sends control commands to engines over HTTP.
type EngineControl struct{ c *client }

var _ platform.EngineControl = (*EngineControl)(nil)

// NewEngineControl returns an adapter that reaches engines over plain HTTP.
func NewEngineControl() *EngineControl { return &EngineControl{newClient("")} }

// Control implements platform.EngineControl.
func (e *EngineControl) Control(ctx context.Context, address string, command platform.ControlCommand) error {
	body, err := json.Marshal(command)
	if err != nil {
		return err
	}
	header := []string{fasthttp.HeaderContentType, "application/json"}
	a, err := e.c.do(ctx, call{method: fasthttp.MethodPost, path: "http://" + address + "/v1/orders", header: header, body: body})
	switch {
	case err != nil:
	case a.status >= 200 && a.status < 300:
		return nil
	case a.status == fasthttp.StatusConflict:
		err = fmt.Errorf("%w: %w", platform.ErrFenced, statusError(a))
	case a.status == fasthttp.StatusBadRequest, a.status == fasthttp.StatusUnprocessableEntity:
		err = fmt.Errorf("%w: %w", platform.ErrInvalidCommand, statusError(a))
	default:
		err = statusError(a)
	}
	if err != nil {
		return fmt.Errorf("control command to %s: %w", address, err)
	}
	return nil
}

// Applied implements platform.EngineControl.
func (e *EngineControl) Applied(ctx context.Context, address string) ([]platform.ControlCommand, error) {
	var log struct {
		Applied []platform.ControlCommand `json:"applied"`
	}
	if err := e.c.getJSON(ctx, "http://"+address+"/v1/orders", &log); err != nil {
		return nil, fmt.Errorf("applied control commands of %s: %w", address, err)
	}
	return log.Applied, nil
}
