package main

import "fmt"

// Names of the configuration that all cases use.
const (
	host    = "listings.example"
	service = "listings"
	apiKey  = "quito-example-key"
)

// quota is a tenant's rate, in requests per second, and burst.
type quota struct{ rate, burst float64 }

// usualQuota is the one of the examples on the users' pages.
var usualQuota = quota{145, 145}

// configuration returns a configuration with a safe route /browse/, a download route
// /photos/ and an unsafe route /reserve/ of one service, and one tenant.
func configuration(version int, q quota) map[string]any {
	route := func(name, prefix, kind string, timeout float64) map[string]any {
		return resource("routes", name, map[string]any{
			"hostname": host, "prefix": prefix, "routeType": kind, "service": service, "timeoutS": timeout, "targetLatencyS": 0.8,
			"maxAttempts": 2, "allowAnonymous": false, "sessionAffinity": true, "priority": 1, "homeRegions": []string{},
		})
	}
	return map[string]any{"version": fmt.Sprintf("%08x", version), "baseVersion": fmt.Sprintf("%08x", max(version-1, 0)), "resources": []any{
		route("browse", "/browse/", "safe", 2.5),
		route("photos", "/photos/", "download", 4),
		route("reserve", "/reserve/", "unsafe", 2.5),
		resource("services", service, map[string]any{
			"healthPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 5.3,
		}),
		resource("tenants", "quito", map[string]any{"apiKeys": []string{apiKey}, "priority": 1, "ratePerS": q.rate, "burst": q.burst, "homeRegions": []string{}}),
		resource("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}),
	}}
}

func resource(kind, name string, spec map[string]any) map[string]any {
	metadata := map[string]any{}
	if name != "" {
		metadata["name"] = name
	}
	return map[string]any{"resourceKind": kind, "metadata": metadata, "spec": spec}
}
