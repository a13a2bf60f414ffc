package operator

// Size is an amount of the resources that a worker offers and a task takes.
// No field is negative.
type Size struct {
	CPU    int64 `json:"cpu,omitempty"`    // millicores
	Memory int64 `json:"memory,omitempty"` // MiB
	Accel  int64 `json:"accel,omitempty"`  // whole accelerators
}

// Add returns the sum of s and o.
func (s Size) Add(o Size) Size {
	return Size{CPU: s.CPU + o.CPU, Memory: s.Memory + o.Memory, Accel: s.Accel + o.Accel}
}

// Sub returns s minus o. Fields may become negative.
func (s Size) Sub(o Size) Size {
	return Size{CPU: s.CPU - o.CPU, Memory: s.Memory - o.Memory, Accel: s.Accel - o.Accel}
}

// Max returns the larger of s and o in each resource.
func (s Size) Max(o Size) Size {
	return Size{CPU: max(s.CPU, o.CPU), Memory: max(s.Memory, o.Memory), Accel: max(s.Accel, o.Accel)}
}

// Times returns s multiplied by n.
func (s Size) Times(n int64) Size {
	return Size{CPU: s.CPU * n, Memory: s.Memory * n, Accel: s.Accel * n}
}

// Fits reports whether s does not exceed o in any resource.
func (s Size) Fits(o Size) bool {
	return s.CPU <= o.CPU && s.Memory <= o.Memory && s.Accel <= o.Accel
}

// Share returns the dominant share of s in total: the largest fraction of any
// resource. Resources that are zero in total are ignored.
func (s Size) Share(total Size) float64 {
	return max(frac(s.CPU, total.CPU), frac(s.Memory, total.Memory), frac(s.Accel, total.Accel))
}

func frac(n, of int64) float64 {
	if of <= 0 {
		return 0
	}
	return float64(n) / float64(of)
}
