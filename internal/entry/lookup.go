package entry

import (
	"encoding/json"
	"net"
	"net/http"
)

// LookupResponse tells a caller which instances to use, best first.
type LookupResponse struct {
	Instances []LookupInstance `json:"instances"`
	// TTLMillis is how long the answer may be cached, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
}

// LookupInstance is one instance of a look-up answer.
type LookupInstance struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Address          string `json:"address"`
}

func (h *Handler) serveLookup(w http.ResponseWriter, r *http.Request) {
	caller := r.URL.Query().Get("client")
	if caller == "" {
		caller, _, _ = net.SplitHostPort(r.RemoteAddr)
	}
	answer := h.Lookup(caller)
	response := LookupResponse{TTLMillis: answer.TTL.Milliseconds()}
	for _, m := range answer.Instances {
		response.Instances = append(response.Instances, LookupInstance{Name: m.Name, AvailabilityZone: m.AvailabilityZone, Address: m.Address})
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_ = json.NewEncoder(w).Encode(response)
}
