package evacuation

import (
	"time"

	"github.com/rs/zerolog"
)

// LogChange logs which evacuations have begun and ended with the value v, which is in force now. The source is the store or
// the name of the process that has passed the value on, and age the time since the value before was confirmed last.
func LogChange(log zerolog.Logger, d Difference, v Value, source string, age time.Duration) {
	for _, domain := range d.began {
		log.Warn().Str("event", "evacuation_began").Str("domain", domain).Str("source", source).
			Int64("position", v.position).Dur("age", age).Msg("failure domain is evacuated; no task starts there")
	}

	for _, domain := range d.ended {
		log.Warn().Str("event", "evacuation_ended").Str("domain", domain).Str("source", source).
			Int64("position", v.position).Dur("age", age).Msg("evacuation of a failure domain has ended; tasks start there again")
	}
}
