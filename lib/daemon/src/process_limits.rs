//! What this process may use, as far as it can find out by itself.

use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;
use stackcourse_lib::dispatch::connections::ProcessLimits;

/// The file in which the kernel tells the memory of the box.
const MEMORY_FILE: &str = "/proc/meminfo";
/// What is assumed where the box does not tell: the smallest that the product is built for.
const SMALLEST: ProcessLimits = ProcessLimits {
    memory_mb: 120,
    descriptors: 1024,
};

/// Reads the memory of the box, and the number of descriptors that this process may open.
pub fn read() -> ProcessLimits {
    let meminfo = std::fs::read_to_string(MEMORY_FILE).unwrap_or_default();
    let descriptors = getrlimit(Resource::RLIMIT_NOFILE).map(|(soft, _)| soft);
    ProcessLimits {
        memory_mb: total_memory_mb(&meminfo).unwrap_or(SMALLEST.memory_mb),
        descriptors: descriptors.unwrap_or(SMALLEST.descriptors),
    }
}

/// Returns the memory in the text of [`MEMORY_FILE`], in MiB.
fn total_memory_mb(meminfo: &str) -> Option<u64> {
    let total = meminfo.lines().find_map(|l| l.strip_prefix("MemTotal:"))?;
    let kilobytes: u64 = total.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes / 1024)
}
