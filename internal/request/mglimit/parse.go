package mglimit

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Parse parses the requests a second that an upstream names: a decimal number of 0 or more.
func Parse(text string) (float64, error) {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, fmt.Errorf("mglimit: invalid limit %q: want requests a second, 0 or more", text)
	}
	return rate, nil
}
