package routes

import "time"

// Service is what the operator states of the backend servers of a service.
type Service struct {
	name       string
	coldTime   time.Duration
	coldStarts float64
}

// NewService returns a service whose backend servers are cold for a time after their start and take coldStarts starts per
// second meanwhile. Each is zero if it is not stated.
func NewService(name string, coldTime time.Duration, coldStarts float64) Service {
	return Service{name, max(0, coldTime), max(0, coldStarts)}
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// ColdTime returns how long a backend server is cold after its start, or zero if that is not stated.
func (s Service) ColdTime() time.Duration { return s.coldTime }

// ColdStarts returns how many starts per second a cold backend server takes, or zero if that is not stated.
func (s Service) ColdStarts() float64 { return s.coldStarts }

// LimitsCold reports whether anything is stated of cold backend servers.
func (s Service) LimitsCold() bool { return s.coldTime > 0 || s.coldStarts > 0 }
