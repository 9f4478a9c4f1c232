package faker

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/gypsumwharf/gypsumwharf/storer"
)

// Handler serves the platform's interfaces over HTTP.
func (p *Platform) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = platformError
	e.GET("/objects/*", p.getObject)
	e.PUT("/objects/*", p.putObject)
	e.DELETE("/objects/*", p.deleteObject)
	e.GET("/list", p.listObjects)
	e.GET("/watch", p.watchObjects)
	e.POST("/orders", p.postOrder)
	e.GET("/orders", p.getOrders)
	e.POST("/usage", p.postUsage)
	e.GET("/usage", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Reports()) })
	e.POST("/instances", p.postInstance)
	e.GET("/instances", p.getInstances)
	e.POST("/faults/down/:down", func(c echo.Context) error {
		p.SetDown(c.Param("down") == "true")
		return c.NoContent(http.StatusNoContent)
	})
	return e
}

func platformError(err error, c echo.Context) {
	status := http.StatusInternalServerError
	var httpError *echo.HTTPError
	switch {
	case errors.As(err, &httpError):
		status = httpError.Code
	case errors.Is(err, storer.ErrNotFound):
		status = http.StatusNotFound
	case errors.Is(err, storer.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, storer.ErrStaleToken):
		status = http.StatusPreconditionFailed
	case errors.Is(err, storer.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, storer.ErrUnavailable):
		status = http.StatusServiceUnavailable
	}
	_ = c.String(status, err.Error())
}

func objectName(c echo.Context) string { return c.Param("*") }

func expectedVersion(c echo.Context) storer.Version {
	v, _ := strconv.ParseInt(c.Request().Header.Get(storer.VersionHeader), 10, 64)
	return storer.Version(v)
}

func setVersion(c echo.Context, v storer.Version) {
	c.Response().Header().Set(storer.VersionHeader, strconv.FormatInt(int64(v), 10))
}

func (p *Platform) getObject(c echo.Context) error {
	object, err := p.Get(c.Request().Context(), objectName(c))
	if err != nil {
		return err
	}
	setVersion(c, object.Version)
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, object.Value)
}

func (p *Platform) putObject(c echo.Context) error {
	value, err := io.ReadAll(io.LimitReader(c.Request().Body, storer.MaxValueBytes+1))
	if err != nil {
		return err
	}
	version, err := p.Put(c.Request().Context(), objectName(c), value, expectedVersion(c))
	if err != nil {
		return err
	}
	setVersion(c, version)
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) deleteObject(c echo.Context) error {
	if err := p.Delete(c.Request().Context(), objectName(c), expectedVersion(c)); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) listObjects(c echo.Context) error {
	list, err := p.List(c.Request().Context(), c.QueryParam("prefix"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, list)
}

func (p *Platform) watchObjects(c echo.Context) error {
	after, _ := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	timeout, _ := strconv.ParseInt(c.QueryParam("timeout"), 10, 64)
	ctx, cancel := context.WithTimeout(c.Request().Context(), time.Duration(timeout)*time.Millisecond)
	defer cancel()
	changes, next, err := p.Watch(ctx, c.QueryParam("prefix"), storer.Version(after))
	if err != nil {
		return err
	}
	setVersion(c, next)
	if changes == nil {
		changes = []storer.Object{}
	}
	return c.JSON(http.StatusOK, changes)
}

func (p *Platform) postOrder(c echo.Context) error {
	return post(c, p.Order)
}

func (p *Platform) postUsage(c echo.Context) error {
	return post(c, p.Report)
}

func (p *Platform) postInstance(c echo.Context) error {
	return post(c, p.Register)
}

func post[T any](c echo.Context, handle func(context.Context, T) error) error {
	var v T
	if err := json.NewDecoder(c.Request().Body).Decode(&v); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, strings.TrimSpace(err.Error()))
	}
	if err := handle(c.Request().Context(), v); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) getOrders(c echo.Context) error {
	list, err := p.ListOrdered(c.Request().Context(), c.QueryParam("data-centre"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, list)
}

func (p *Platform) getInstances(c echo.Context) error {
	list, err := p.Instances(c.Request().Context())
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, list)
}
