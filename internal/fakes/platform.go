package fakes

import (
	"bytes"
	"encoding/json"
)

// completeConfig is a platform's configuration file with every key that the platform always writes. Each value means
// the same to a broker as a missing key. The element of a list stands for all elements of that list.
const completeConfig = `{"name":"","listen":"","discovery":"","seed":"0",
 "limits":{"cores":0,"memory_mb":0,"sockets":0},"peer_listen":"","peers":[],"peers_all":"",
 "settings":{
  "bounds":{"cancel":false,"connIdle":0,"connectTimeout":0,"cpuUsPerRequest":0,"cpuUsPerS":0,"maxAttempts":0,
   "maxOpen":0,"maxRetryAfter":0,"peers":false,"probes":false,"retryAfter":false,"secondCopies":false,
   "streamsPerConn":0},
  "classes":[{"name":"","aim":0,"deadline":0,"effect":"","importance":0,"keyScope":"all","lateWorth":0,
   "stream":false,"window":0}],
  "clients":{"marksRetry":false},"discovery":"automatic","family":"stores",
  "invariants":{"answerSlack":0,"cold":0,"coldShare":0,"drainGrace":0,"fall":0,"fallMultiple":0,"mustAskIn":0},
  "kinds":[],"nInstances":1,"ordinal":0,
  "prices":{"connection":0,"crossZone":0,"discovery":0,"handshake":0,"lateFail":0,"moves":0,"origin":0,"peer":0,
   "probe":0,"waste":0},
  "scoreParts":{"whole":0,"worstClass":0,"worstTenant":0,"worstWindow":0},
  "serviceLevels":[{"name":"","capDepth":0,"ceilingRate":0,"floorRate":0,"nominal":0,"parts":0,"price":0,
   "tolerance":0}],
  "specifics":{"idleWorth":0,"maxUnits":0,"nShards":0,"tellsElsewhere":false,"usePeriod":0,"usualUnits":0,
   "withinShare":0,"writes":[],"youngLimit":0},
  "stage":0,"telemetry":{"fields":[],"via":"off"},"tick":0,"tiers":[],"weights":"off","zone":"","zones":[]}}`

// CompleteConfig adds to a configuration file, or to a part of one, the keys that it lacks and that the platform always
// writes. An added key has a value that means the same to a broker as a missing key. It returns an error if config is
// not valid JSON.
func CompleteConfig(config []byte) ([]byte, error) {
	defaults, err := decodeNumbers([]byte(completeConfig))
	if err != nil {
		return nil, err
	}
	given, err := decodeNumbers(config)
	if err != nil {
		return nil, err
	}
	return json.Marshal(mergeJSON(defaults, given))
}

// decodeNumbers decodes JSON and keeps the digits of its numbers.
func decodeNumbers(text []byte) (any, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	err := decoder.Decode(&value)
	return value, err
}

// mergeJSON returns given with the keys of defaults that it lacks. Each element of a given list of objects is merged
// with the first element of the default list.
func mergeJSON(defaults, given any) any {
	switch given := given.(type) {
	case map[string]any:
		if object, is := defaults.(map[string]any); is {
			return mergeObjects(object, given)
		}
	case []any:
		if list, is := defaults.([]any); is && len(list) > 0 {
			return mergeElements(list[0], given)
		}
	}
	return given
}

func mergeObjects(defaults, given map[string]any) map[string]any {
	merged := map[string]any{}
	for key, value := range defaults {
		merged[key] = value
	}
	for key, value := range given {
		merged[key] = mergeJSON(defaults[key], value)
	}
	return merged
}

func mergeElements(element any, given []any) []any {
	merged := make([]any, 0, len(given))
	for _, value := range given {
		merged = append(merged, mergeJSON(element, value))
	}
	return merged
}
