package fair

import (
	"cmp"
	"math"
	"slices"
)

// MaxMin divides a capacity among demands by weighted max-min fairness: nobody
// gets more than asked for, and nobody could get more without taking from one
// that has no more by weight. Weights that aren't positive count as one. It
// takes n log n time. It panics if the lengths differ.
func MaxMin(demands, weights []float64, capacity float64) []float64 {
	if len(demands) != len(weights) {
		panic("fair: MaxMin needs as many weights as demands")
	}
	order := make([]int, len(demands))
	left := 0.0
	for i := range demands {
		order[i] = i
		left += weightOf(weights[i])
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(demands[a]/weightOf(weights[a]), demands[b]/weightOf(weights[b]))
	})
	parts := make([]float64, len(demands))
	capacity = max(0, capacity)
	for _, i := range order {
		weight := weightOf(weights[i])
		parts[i] = max(0, min(demands[i], capacity*weight/left))
		capacity -= parts[i]
		left -= weight
	}
	return parts
}

func weightOf(weight float64) float64 {
	if weight <= 0 || math.IsNaN(weight) {
		return 1
	}
	return weight
}
