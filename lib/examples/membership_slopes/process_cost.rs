//! Processor time and memory of this process.

use std::fs;

/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Index of the user time in `/proc/self/stat`, counted after the name of the command. The system
/// time follows it.
const USER_TIME_FIELD: usize = 11;

/// Returns the processor time of this process in user mode and in the kernel, in seconds.
pub(crate) fn cpu_s() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").expect("readable /proc, as on Linux");
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: f64 = fields.filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_S
}

/// Returns the resident memory of this process in kibibytes, as the kernel reports it.
pub(crate) fn resident_kb() -> f64 {
    let text = fs::read_to_string("/proc/self/status").expect("readable /proc, as on Linux");
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0.0)
}
