package scheduler

// maxEarlierGenerations bounds the earlier generations of settings that are kept for requests that came under
// them. With a smaller value, a request that waited unread during several changes would be judged by later
// settings than its own.
const maxEarlierGenerations = 8

// FirstGeneration is the generation of the settings at the start.
const FirstGeneration = 1

// settingsTable holds the classes and plans of one generation of the settings by name. Generations count the
// configurations of a process. The replicated configuration may change the settings within a generation.
type settingsTable struct {
	generation uint64
	classes    map[string]*Class
	plans      map[string]*Plan
}

func newSettingsTable(settings Settings, generation uint64) settingsTable {
	t := settingsTable{generation: generation, classes: map[string]*Class{}, plans: map[string]*Plan{}}
	for _, class := range settings.Classes {
		t.classes[class.Name] = &class
	}
	for _, plan := range settings.Plans {
		t.plans[plan.Name] = &plan
	}
	return t
}

// replaceTable puts a table in force. The present one is kept for its requests if it is of an earlier
// generation.
func (s *Scheduler) replaceTable(next settingsTable) {
	if next.generation <= s.table.generation {
		next.generation = s.table.generation
		s.table = next
		return
	}
	if s.table.generation > 0 {
		s.earlierTables = append(s.earlierTables, s.table)
	}
	if excess := len(s.earlierTables) - maxEarlierGenerations; excess > 0 {
		s.earlierTables = append([]settingsTable(nil), s.earlierTables[excess:]...)
	}
	s.table = next
}

// tableOf returns the table for a request of a generation: the last one of that generation or, if it is no
// longer kept, the oldest one after it. Generation 0 stands for the present one.
func (s *Scheduler) tableOf(generation uint64) *settingsTable {
	if generation == 0 {
		return &s.table
	}
	for i := range s.earlierTables {
		if s.earlierTables[i].generation >= generation {
			return &s.earlierTables[i]
		}
	}
	return &s.table
}

// ClassOf returns the class of a request that has arrived and is not ended. known is false for any other
// request.
func (s *Scheduler) ClassOf(id uint64) (class Class, known bool) {
	if r := s.requests[id]; r != nil {
		return *r.class, true
	}
	return Class{}, false
}
