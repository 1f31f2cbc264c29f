package gwadmin

import (
	"cmp"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	gw "github.com/geraniumworks/geraniumworks"
	"github.com/geraniumworks/geraniumworks/internal/request/gwpreview"
)

// whereTo returns where this host would send a request. It sends none.
func (a *API) whereTo(ec echo.Context) error {
	req := gwpreview.Request{
		Host: ec.QueryParam("host"), Path: ec.QueryParam("path"), Key: ec.QueryParam("key"),
		Method: cmp.Or(ec.QueryParam("method"), http.MethodGet), Tenant: gw.TenantName(ec.QueryParam("tenant")),
	}
	if !strings.HasPrefix(req.Path, "/") {
		return echo.NewHTTPError(http.StatusBadRequest, "the path must start with a slash")
	}
	if value := ec.QueryParam("bytes"); value != "" {
		var err error
		if req.Bytes, err = strconv.ParseInt(value, 10, 64); err != nil || req.Bytes < 0 {
			return echo.NewHTTPError(http.StatusBadRequest, "the number of bytes must be 0 or more")
		}
	}
	return ec.JSON(http.StatusOK, a.where(ec.Request().Context(), req))
}
