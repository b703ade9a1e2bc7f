/// Processor time and memory of other processes on this machine, as Linux reports them under /proc.
#pragma once
#include <sys/types.h>
namespace zinccleat::simulation {
/// Processor time that all living threads of a process have used, in seconds; 0 if there is no such process.
double cpuSecondsOf(pid_t process);
/// The largest resident memory that a process has had, in MiB; 0 if there is no such process.
double peakMemoryMbOf(pid_t process);
}  // namespace zinccleat::simulation
