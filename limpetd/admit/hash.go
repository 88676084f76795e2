package admit

// mix spreads the bits of a number.
func mix(x uint64) uint64 {
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return x
}

// unit returns a number between 0 and 1 made of the upper bits of x.
func unit(x uint64) float64 {
	return float64(x>>11) / (1 << 53)
}
