package admin

import (
	"net/http"
	"slices"
	"strings"
)

// route identifies the call that a request's path addresses.
type route int

const (
	routeUnknown route = iota
	routeReady
	routeMetrics
	routeSuspend
	routeResume
)

// route returns the route of the request's path: /v1/readyz, /v1/metrics,
// /v1/catalogue-servers/HOST/suspend or /v1/catalogue-servers/HOST/resume.
func (r *request) route() route {
	p := r.path
	if len(p) < 2 || p[0] != "v1" {
		return routeUnknown
	}
	switch {
	case len(p) == 2 && p[1] == "readyz":
		return routeReady
	case len(p) == 2 && p[1] == "metrics":
		return routeMetrics
	case len(p) == 4 && p[1] == "catalogue-servers" && p[2] != "" && p[3] == "suspend":
		return routeSuspend
	case len(p) == 4 && p[1] == "catalogue-servers" && p[2] != "" && p[3] == "resume":
		return routeResume
	}
	return routeUnknown
}

// methods lists HTTP methods.
type methods []string

// allowedMethods returns the methods that the route accepts. It returns nil for routeUnknown.
func (r route) allowedMethods() methods {
	switch r {
	case routeReady, routeMetrics:
		return methods{http.MethodGet, http.MethodHead}
	case routeSuspend, routeResume:
		return methods{http.MethodPost}
	}
	return nil
}

// includes reports whether m contains method.
func (m methods) includes(method string) bool { return slices.Contains(m, method) }

// String returns the methods as the value of an Allow header.
func (m methods) String() string { return strings.Join(m, ", ") }
