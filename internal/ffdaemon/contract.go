package ffdaemon

import (
	"reflect"

	"fireflyfall.dev/fireflyfall/internal/ffaudit"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
)

// contractAudit writes contract changes to the audit trail.
type contractAudit struct {
	trail *ffaudit.Trail
}

// record records each contract that was added, amended or removed between old and
// applied. It records nothing for the first version, where old is nil.
func (a *contractAudit) record(old, applied *ffconfig.Snapshot) {
	if old == nil {
		return
	}
	for _, customer := range applied.Customers() {
		newContract, _ := applied.Contract(customer)
		oldContract, ok := old.Contract(customer)
		switch {
		case !ok:
			a.recordChange(applied, customer, "added")
		case !reflect.DeepEqual(oldContract, newContract):
			a.recordChange(applied, customer, "amended")
		}
	}
	for _, customer := range old.Customers() {
		if _, ok := applied.Contract(customer); !ok {
			a.recordChange(applied, customer, "removed")
		}
	}
}

func (a *contractAudit) recordChange(applied *ffconfig.Snapshot, customer, change string) {
	a.trail.Record(ffaudit.Event{
		Kind:    ffaudit.KindContractChanged,
		Subject: customer,
		Version: applied.Version().String(),
		Detail:  change,
	})
}
