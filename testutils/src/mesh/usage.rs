//! Resource usage of a process, as the kernel reports it.

use std::fs;
use std::io;

/// Clock ticks per second, the unit of processor time in `/proc` on Linux.
const TICKS_PER_S: f64 = 100.0;
/// Index of the user time in `/proc/PID/stat`, counted from 0 after the program's name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// Processor time since the start of the process, in seconds.
    pub cpu_s: f64,
    /// Resident memory in kB.
    pub resident_kb: u64,
}

impl ProcessUsage {
    /// Reads the current usage of the process `pid`.
    pub fn read(pid: u32) -> io::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| -> f64 {
            let field = fields.get(index).and_then(|field| field.parse().ok());
            field.unwrap_or(0.0)
        };
        let resident_kb = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next())
            .and_then(|number| number.parse().ok());
        Ok(Self {
            cpu_s: (ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)) / TICKS_PER_S,
            resident_kb: resident_kb.unwrap_or(0),
        })
    }
}
