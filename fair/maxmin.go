package fair

import (
	"cmp"
	"math"
	"slices"
)

// MaxMin divides a capacity among demands by weighted max-min fairness: no allocation
// exceeds its demand, and none could grow without shrinking another that is no larger for
// its weight. Weights that aren't positive count as one. MaxMin takes O(n log n) time, and
// panics if the lengths differ.
func MaxMin(demands, weights []float64, capacity float64) []float64 {
	if len(demands) != len(weights) {
		panic("fair: MaxMin needs as many weights as demands")
	}
	order := make([]int, len(demands))
	remainingWeight := 0.0
	for i := range demands {
		order[i] = i
		remainingWeight += weightOf(weights[i])
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(demands[a]/weightOf(weights[a]), demands[b]/weightOf(weights[b]))
	})
	allocations := make([]float64, len(demands))
	capacity = max(0, capacity)
	for _, i := range order {
		weight := weightOf(weights[i])
		allocations[i] = max(0, min(demands[i], capacity*weight/remainingWeight))
		capacity -= allocations[i]
		remainingWeight -= weight
	}
	return allocations
}

// weightOf returns the weight, or one if it isn't positive.
func weightOf(weight float64) float64 {
	if weight <= 0 || math.IsNaN(weight) {
		return 1
	}
	return weight
}
