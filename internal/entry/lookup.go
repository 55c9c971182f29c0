package entry

import (
	"encoding/json"
	"net/http"
	"net/netip"
)

// LookupResponse is the JSON body of a look-up's response: the instances that a
// caller should use, best first.
type LookupResponse struct {
	Instances []LookupInstance `json:"instances"`
	// TTLMillis is how long the response may be cached, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
}

// LookupInstance is one instance in a LookupResponse.
type LookupInstance struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Address          string `json:"address"` // IP:port
}

// serveLookup responds to a request for LookupPath.
func (h *Handler) serveLookup(w http.ResponseWriter, r *http.Request) {
	caller, err := callerAddress(r)
	if err != nil {
		http.Error(w, "client is not an IP address", http.StatusBadRequest)
		return
	}
	answer := h.Lookup(caller)
	response := LookupResponse{TTLMillis: answer.TTL.Milliseconds()}
	for _, instance := range answer.Instances() {
		response.Instances = append(response.Instances, LookupInstance{Name: instance.Name, AvailabilityZone: instance.AvailabilityZone, Address: instance.Address})
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_ = json.NewEncoder(w).Encode(response)
}

// callerAddress returns the IP address that a look-up is about: that of its query
// parameter client, or else the address that the request comes from.
func callerAddress(r *http.Request) (netip.Addr, error) {
	if client := r.URL.Query().Get("client"); client != "" {
		return netip.ParseAddr(client)
	}
	remote, err := netip.ParseAddrPort(r.RemoteAddr)
	return remote.Addr(), err
}
