package ffconfig

import "slices"

// Service is a group of targets that offer the same resources.
type Service struct {
	// Name is the unique name of the service.
	Name string `json:"service" yaml:"service"`
	// Resources are the names of the resources that the targets of the service offer.
	Resources []string `json:"resources" yaml:"resources"`
	// Slots is the number of calls that one target runs at once.
	Slots int `json:"slots" yaml:"slots"`
	// LongSlots is the maximum number of slots of one target that long work may use;
	// less than Slots.
	LongSlots int `json:"longSlots" yaml:"longSlots"`
	// Connections is the number of connections that one target accepts; at least Slots.
	Connections int `json:"connections" yaml:"connections"`
	// QueueLength is the maximum number of calls queued at one target.
	QueueLength int `json:"queueLength" yaml:"queueLength"`
}

// Offers reports whether the targets of the service offer the resource.
func (s *Service) Offers(resource string) bool { return slices.Contains(s.Resources, resource) }
