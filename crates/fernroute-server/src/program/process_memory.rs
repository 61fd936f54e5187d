//! The resident memory of this process.

use std::fs;

const BYTES_PER_KIB: usize = 1024;

/// What this process has resident, shared pages included, in bytes; `None` where the system does not tell.
pub fn resident_bytes() -> Option<usize> {
    // The second file is an estimate of the kernel's, short by up to a megabyte on many processors.
    field_of("/proc/self/smaps_rollup", "Rss:").or_else(|| field_of("/proc/self/status", "VmRSS:"))
}

fn field_of(path: &str, name: &str) -> Option<usize> {
    let text = fs::read_to_string(path).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix(name))?;
    let kib: usize = value.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * BYTES_PER_KIB)
}
