package clientmem

const (
	// accountShare is the share of a process's memory for what is held for clients. The rest is
	// for its own state, for garbage, and for what is held beyond the account while it is dropped.
	accountShare = 0.4
	// heapShare is the share that is set as the Go runtime's soft limit; the rest is for kernel
	// buffers and stacks.
	heapShare = 0.7
	// fixedMemory is left to the pages of the program and other memory outside the Go heap,
	// which is 16 to 20 MiB whatever the limit. It matters for limits below 80 MiB.
	fixedMemory = 24 << 20
)

// ForProcess returns the account of a process of the given memory, or nil if that is 0.
func ForProcess(memory int64) *Account { return New(int64(float64(memory) * accountShare)) }

// SoftHeapLimit returns the Go runtime's soft limit in a process of the given memory.
func SoftHeapLimit(memory int64) int64 {
	return max(memory/4, min(int64(float64(memory)*heapShare), memory-fixedMemory))
}
