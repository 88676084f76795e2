package admit

// mixBits scrambles the bits of x, so that similar inputs give unrelated outputs.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return x
}

// unitFloat maps the upper 53 bits of x to a number in [0, 1).
func unitFloat(x uint64) float64 {
	return float64(x>>11) / (1 << 53)
}
