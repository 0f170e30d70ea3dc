package ffretry

import "sync"

// budgetOf returns the budget of a customer and creates it on first use.
func budgetOf(budgets *sync.Map, customer string) *Budget {
	if b, ok := budgets.Load(customer); ok {
		return b.(*Budget)
	}
	b, _ := budgets.LoadOrStore(customer, &Budget{})
	return b.(*Budget)
}
