package ffdeclaration_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"fireflyfall.dev/fireflyfall/internal/ffmember"
	"fireflyfall.dev/fireflyfall/pkg/ffconfig"
	"fireflyfall.dev/fireflyfall/pkg/ffdeclaration"
)

// Checks that the examples are complete: every customer's example key authenticates
// that customer, every VM runs a declared service, VM names are unique, the VM counts
// match, and the routes of charges are not idempotent.
func TestExamples(t *testing.T) {
	counts := map[string]map[string]int{
		"sicily":      {"palermo/prenota": 7, "palermo/registro": 3, "catania/prenota": 7, "catania/registro": 3, "vittoria/prenota": 7, "vittoria/registro": 3},
		"ulaanbaatar": {"sukhbaatar/ledger": 8, "sukhbaatar/photo-desk": 3, "khan-uul/ledger": 8, "khan-uul/photo-desk": 3, "bayanzurkh/ledger": 8, "bayanzurkh/photo-desk": 3},
	}
	charges := map[string]string{"sicily": "booking", "ulaanbaatar": "deposit"}
	for deployment, want := range counts {
		t.Run(deployment, func(t *testing.T) {
			dir := filepath.Join("../../examples", deployment)
			d, err := ffdeclaration.Read(dir)
			if err != nil {
				t.Fatal(err)
			}
			b, err := ffdeclaration.Build(d, 1)
			if err != nil {
				t.Fatal(err)
			}
			checkKeys(t, dir, b.Snapshot)
			if diff := cmp.Diff(want, countVMs(t, dir, b.Snapshot)); diff != "" {
				t.Error(diff)
			}
			checkCharge(t, b.Snapshot, charges[deployment])
		})
	}
}

func readJSON(t *testing.T, into any, path ...string) {
	content, err := os.ReadFile(filepath.Join(path...))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(content, into); err != nil {
		t.Fatal(err)
	}
}

func checkKeys(t *testing.T, dir string, s *ffconfig.Snapshot) {
	var keys map[string]string
	readJSON(t, &keys, dir, "keys.json")
	for _, customer := range s.Customers() {
		if c, ok := s.ContractByKey(keys[customer]); !ok || c.Customer != customer {
			t.Errorf("the example key of %s does not authenticate it", customer)
		}
	}
}

func countVMs(t *testing.T, dir string, s *ffconfig.Snapshot) map[string]int {
	var vms []ffmember.VM
	readJSON(t, &vms, dir, "fleet.json")
	counts := make(map[string]int)
	names := make(map[string]bool)
	for _, vm := range vms {
		if _, ok := s.Service(vm.Service); !ok || names[vm.Name] {
			t.Errorf("VM %s is listed twice or runs an unknown service", vm.Name)
		}
		names[vm.Name] = true
		counts[vm.DataCentre+"/"+vm.Service]++
	}
	return counts
}

func checkCharge(t *testing.T, s *ffconfig.Snapshot, name string) {
	all := s.Routes()
	i := slices.IndexFunc(all, func(r *ffconfig.Route) bool { return r.Name == name })
	if i < 0 || all[i].Idempotent {
		t.Errorf("route %s is missing or idempotent", name)
	}
}

// Checks that docs/CONTRACTS.md documents every field of every declaration.
func TestPageNamesEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/CONTRACTS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, declaration := range []any{ffconfig.Contract{}, ffconfig.Service{}, ffconfig.Route{}} {
		for _, field := range reflect.VisibleFields(reflect.TypeOf(declaration)) {
			if name := "`" + field.Tag.Get("yaml") + "`"; !bytes.Contains(page, []byte(name)) {
				t.Errorf("docs/CONTRACTS.md lacks %s", name)
			}
		}
	}
}
