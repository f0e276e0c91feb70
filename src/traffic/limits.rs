//! How many callers a process may take with the file descriptors that the system grants it.

const LIMITS_FILE: &str = "/proc/self/limits";
const LIMIT_NAME: &str = "Max open files";
/// Descriptors for listeners, links, logs and idle connections to targets.
const RESERVED: usize = 256;
/// A caller's connection and the one to its target.
const DESCRIPTORS_PER_CALLER: usize = 2;
const MOST_CALLERS: usize = 32_768;
const FEWEST_CALLERS: usize = 64;

/// Returns how many callers this process takes at a time.
pub fn max_callers() -> usize {
    let text = std::fs::read_to_string(LIMITS_FILE).unwrap_or_default();
    callers_for(open_files(&text))
}

/// Returns how many callers fit a limit on open files; `None` is no limit.
pub fn callers_for(open_files: Option<usize>) -> usize {
    let limit = open_files.unwrap_or(usize::MAX);
    let callers = limit.saturating_sub(RESERVED) / DESCRIPTORS_PER_CALLER;
    callers.clamp(FEWEST_CALLERS, MOST_CALLERS)
}

/// Reads the limit on open files in force from the system's list; `None` is no limit.
pub fn open_files(limits: &str) -> Option<usize> {
    let line = limits.lines().find(|line| line.starts_with(LIMIT_NAME))?;
    let soft = line[LIMIT_NAME.len()..].split_whitespace().next()?;
    soft.parse().ok()
}
