package harness

import (
	"encoding/json"
	"fmt"
)

// Host, Key and Tenant are those of the configurations.
const (
	Host   = "listings.example"
	Key    = "review-key"
	Tenant = "quito"
)

type object = map[string]any

func route(name, prefix, service string, open bool) object {
	return object{"resourceKind": "routes", "metadata": object{"name": name}, "spec": object{
		"hostname": Host, "prefix": prefix, "routeType": "safe", "timeoutS": 2.5, "targetLatencyS": 0.6, "priority": 2,
		"service": service, "maxAttempts": 2, "allowAnonymous": open, "sessionAffinity": true, "homeRegions": []string{},
	}}
}

// Configuration returns a configuration with the routes /open/, which needs no key, and
// /keyed/ to a service, and a number of further routes to the service "old".
func Configuration(version, routes int, service string) string {
	list := []object{route("r-open", "/open/", service, true), route("r-keyed", "/keyed/", service, false)}
	for i := range routes {
		list = append(list, route(fmt.Sprintf("r-more-%d", i), fmt.Sprintf("/more%d/", i), "old", false))
	}
	for _, s := range []string{"old", "new"} {
		list = append(list, object{"resourceKind": "services", "metadata": object{"name": s}, "spec": object{"healthPath": "/health", "maxConnections": 390, "coldStartS": 3.0, "coldPerS": 5.3}})
	}
	list = append(list,
		object{"resourceKind": "tenants", "metadata": object{"name": Tenant}, "spec": object{"apiKeys": []string{Key}, "priority": 1, "ratePerS": 145, "burst": 145, "homeRegions": []string{}}},
		object{"resourceKind": "limits", "metadata": object{}, "spec": object{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 3, "idleTimeoutS": 15}})
	text, err := json.Marshal(object{"version": fmt.Sprintf("%08x", version), "resources": list})
	if err != nil {
		panic(err)
	}
	return string(text)
}
