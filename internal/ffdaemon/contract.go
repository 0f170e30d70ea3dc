package ffdaemon

import (
	"reflect"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// contractAudit records which contracts a version changed.
type contractAudit struct {
	trail *ffaudit.Trail
}

// record compares the contracts of the version before and the one in force.
func (a *contractAudit) record(old, applied *ffconfig.Snapshot) {
	if old == nil {
		return
	}
	for _, customer := range applied.Customers() {
		now, _ := applied.Contract(customer)
		before, ok := old.Contract(customer)
		switch {
		case !ok:
			a.changed(applied, customer, "added")
		case !reflect.DeepEqual(before, now):
			a.changed(applied, customer, "amended")
		}
	}
	for _, customer := range old.Customers() {
		if _, ok := applied.Contract(customer); !ok {
			a.changed(applied, customer, "removed")
		}
	}
}

func (a *contractAudit) changed(applied *ffconfig.Snapshot, customer, how string) {
	a.trail.Record(ffaudit.Event{
		Kind:    ffaudit.KindContractChanged,
		Subject: customer,
		Version: applied.Version().String(),
		Detail:  how,
	})
}
