package main

// object is a JSON object.
type object = map[string]any

// class returns a class of the small deployment; times are in microseconds.
func class(name, effect string, aim, deadline int, worth float64) object {
	return object{"name": name, "effect": effect, "keyScope": "all", "aim": aim, "deadline": deadline,
		"importance": worth, "lateWorth": 0.1, "stream": false, "window": 5000000}
}

func plan(name string, nominal, floor, parts, price float64) object {
	return object{"name": name, "nominal": nominal, "floorRate": floor, "parts": parts, "price": price,
		"capDepth": 0.0, "ceilingRate": 0.0, "tolerance": 0.0}
}

// smallDeployment returns the settings of a broker of recife-main: three brokers, eight nodes.
func smallDeployment(brokers, ordinal, shards int) object {
	return object{
		"bounds": object{"cancel": true, "connIdle": 30000000, "connectTimeout": 250000, "cpuUsPerRequest": 0.0,
			"cpuUsPerS": 300000, "maxAttempts": 3, "maxOpen": 20000, "maxRetryAfter": 1000000, "peers": true,
			"probes": true, "retryAfter": true, "secondCopies": false, "streamsPerConn": 100},
		"classes": []object{
			class("lesson-read", "safe", 150000, 750000, 3),
			class("record-write", "unsafe", 200000, 1200000, 2),
			class("bulk-export", "safe", 750000, 2500000, 1),
		},
		"clients":   object{"marksRetry": false},
		"discovery": "automatic",
		"family":    "stores",
		"invariants": object{"answerSlack": 8000, "cold": 17000000, "coldShare": 0.18, "drainGrace": 2000000,
			"fall": 3000000, "fallMultiple": 4.0, "mustAskIn": 10000000},
		"kinds":      []string{"std-2c", "slow-2c"},
		"nInstances": brokers,
		"ordinal":    ordinal,
		"prices": object{"connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.0,
			"moves": 0.0, "origin": 0.0, "peer": 0.008, "probe": 0.0086, "waste": 0.039},
		"scoreParts": object{"whole": 0.75, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.15},
		"serviceLevels": []object{
			plan("basico", 6.7, 3.4, 1, 0.72),
			plan("padrao", 13, 13, 3, 0.9),
			plan("completo", 27, 32, 4, 1.5),
		},
		"specifics": object{"idleWorth": 0.05, "maxUnits": 8, "nShards": shards, "tellsElsewhere": false,
			"usePeriod": 500000, "usualUnits": 2.13, "withinShare": 0.4, "writes": []bool{false, true, false},
			"youngLimit": 41.0},
		"stage":     0,
		"telemetry": object{"fields": []string{"busy_reqs"}, "via": "inline"},
		"tick":      2000,
		"tiers":     []string{"school-store"},
		"weights":   "nominal",
		"zone":      "hall-b",
		"zones":     []string{"hall-a", "hall-b"},
	}
}
