//! What a running process holds, as the kernel tells it.

use std::path::PathBuf;
use std::time::Duration;

/// The unit of the times in `stat`.
const TICK: Duration = Duration::from_millis(10);
/// The position of the time in user mode among the fields of `stat` that follow the name.
const USER_TIME_FIELD: usize = 11;

/// Reads what a process holds from its directory under `/proc`.
#[derive(Clone, Copy, Debug)]
pub struct ProcessInfo {
    id: u32,
}

impl ProcessInfo {
    /// Returns a reader for the process with an id.
    pub fn new(id: u32) -> ProcessInfo {
        ProcessInfo { id }
    }

    /// Returns the most memory that the process has held so far, in bytes.
    ///
    /// # Panics
    ///
    /// Panics if the process does not run.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(self.path("status")).expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|rest| rest.split_whitespace().next());
        let kilobytes: u64 = kilobytes
            .and_then(|n| n.parse().ok())
            .expect("a peak in kilobytes");
        kilobytes * 1024
    }

    /// Returns the processor time that the process has used so far.
    ///
    /// # Panics
    ///
    /// Panics if the process does not run.
    pub fn cpu_time(&self) -> Duration {
        let stat = std::fs::read_to_string(self.path("schedstat")).expect("the process runs");
        let nanoseconds = stat.split_whitespace().next().and_then(|n| n.parse().ok());
        Duration::from_nanos(nanoseconds.expect("a time in nanoseconds"))
    }

    /// Returns the processor time that the process has used so far in user and in kernel mode.
    ///
    /// # Panics
    ///
    /// Panics if the process does not run.
    pub fn cpu_split(&self) -> [Duration; 2] {
        let stat = std::fs::read_to_string(self.path("stat")).expect("the process runs");
        let (_, fields) = stat.rsplit_once(')').expect("the name in brackets");
        let mut times = fields.split_whitespace().skip(USER_TIME_FIELD);
        [(); 2].map(|()| {
            let ticks = times.next().and_then(|n| n.parse::<u64>().ok());
            TICK * ticks.expect("a time in ticks") as u32
        })
    }

    /// Returns the number of file descriptors that the process has open.
    ///
    /// # Panics
    ///
    /// Panics if the process does not run.
    pub fn descriptors(&self) -> usize {
        let entries = std::fs::read_dir(self.path("fd"));
        entries.expect("the process runs").count()
    }

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from(format!("/proc/{}/{name}", self.id))
    }
}
