//go:build review

package main

// service names of the configuration.
const (
	engineService = "clock"
	deskService   = "desk"
)

// configuration returns what the operator writes: two services and a route for each kind of request.
func configuration(models ...string) map[string]any {
	list := []map[string]any{}
	for _, m := range models {
		list = append(list, map[string]any{"name": m, "mb": 60000.0, "loadS": 6.0, "adapters": 0, "adapterMb": 40.0, "warmS": 0.78, "diskS": 1.1})
	}
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "note", "host": "a.example", "pathPrefix": "/note/", "routeKind": "stream", "timeoutMs": 10000, "goalMs": 1500, "priority": 0, "service": engineService, "maxAttempts": 2, "resumable": true, "gapAimMs": 250, "sessionAffinity": true},
			{"name": "book", "host": "a.example", "pathPrefix": "/book/", "routeKind": "unsafe", "timeoutMs": 1500, "goalMs": 300, "priority": 2, "service": deskService, "maxAttempts": 1},
			{"name": "view", "host": "a.example", "pathPrefix": "/view/", "routeKind": "safe", "timeoutMs": 1500, "goalMs": 300, "priority": 2, "service": deskService, "maxAttempts": 2},
		},
		"services": []map[string]any{
			{"name": deskService, "healthPath": "/health", "maxConns": 96},
			{"name": engineService, "healthPath": "/health", "maxConns": 610, "engineKind": map[string]any{
				"slotCount": 32, "kvCapacity": 140757, "mb": 83000.0, "adapterSlots": 8, "loadsPerS": 3.0, "models": list,
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
