package load

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
)

// ticksPerSecond is the number of clock ticks per second in which /proc counts CPU time.
const ticksPerSecond = 100

// cpuSeconds returns the CPU time that the processes have used in total. Processes that do not exist count as 0.
func cpuSeconds(pids []int) float64 {
	total := 0.0
	for _, pid := range pids {
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			continue
		}
		_, rest, ok := bytes.Cut(b, []byte(") "))
		f := bytes.Fields(rest)
		if !ok || len(f) < 13 {
			continue
		}
		for _, v := range f[11:13] {
			n, _ := strconv.ParseFloat(string(v), 64)
			total += n / ticksPerSecond
		}
	}
	return total
}

// ResidentBytes returns the resident memory of a process, or 0 if it cannot be read.
func ResidentBytes(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	f := bytes.Fields(b)
	if len(f) < 2 {
		return 0
	}
	n, _ := strconv.ParseInt(string(f[1]), 10, 64)
	return n * int64(os.Getpagesize())
}

// CPUSeconds returns the CPU time that one process has used.
func CPUSeconds(pid int) float64 { return cpuSeconds([]int{pid}) }
