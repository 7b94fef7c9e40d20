package httpapi

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"monsoonkeel.example/monsoonkeel/internal/platform"
)

// EngineControl implements platform.EngineControl over HTTP.
type EngineControl struct{ c *client }

var _ platform.EngineControl = (*EngineControl)(nil)

// NewEngineControl returns a client that sends commands over unencrypted HTTP.
func NewEngineControl() *EngineControl { return &EngineControl{newClient("")} }

// Control implements platform.EngineControl. It makes one attempt.
func (e *EngineControl) Control(ctx context.Context, address string, command platform.ControlCommand) error {
	body, err := json.Marshal(command)
	if err != nil {
		return err
	}
	header := []string{fasthttp.HeaderContentType, "application/json"}
	resp, err := e.c.do(ctx, call{
		method: fasthttp.MethodPost, path: "http://" + address + "/v1/orders", header: header, body: body, ownConnection: true,
	})
	switch {
	case err != nil:
	case resp.status >= 200 && resp.status < 300:
		return nil
	case resp.status == fasthttp.StatusConflict:
		err = fmt.Errorf("%w: %w", platform.ErrFenced, statusError(resp))
	case resp.status == fasthttp.StatusBadRequest, resp.status == fasthttp.StatusUnprocessableEntity:
		err = fmt.Errorf("%w: %w", platform.ErrInvalidCommand, statusError(resp))
	default:
		err = statusError(resp)
	}
	if err != nil {
		return fmt.Errorf("send control command to %s: %w", address, err)
	}
	return nil
}

// Applied implements platform.EngineControl.
func (e *EngineControl) Applied(ctx context.Context, address string) ([]platform.ControlCommand, error) {
	var list struct {
		Applied []platform.ControlCommand `json:"applied"`
	}
	resp, err := e.c.do(ctx, call{method: fasthttp.MethodGet, path: "http://" + address + "/v1/orders", ownConnection: true})
	if err == nil {
		err = decodeResponse(resp, &list)
	}
	if err != nil {
		return nil, fmt.Errorf("read applied control commands of %s: %w", address, err)
	}
	if list.Applied == nil {
		return nil, fmt.Errorf("read applied control commands of %s: %w", address, errMissingFields)
	}
	return list.Applied, nil
}
