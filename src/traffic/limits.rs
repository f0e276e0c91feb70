//! Derives the maximum number of callers' connections from the limit on open files.

const LIMITS_FILE: &str = "/proc/self/limits";
const LIMIT_NAME: &str = "Max open files";
/// File descriptors reserved for listeners, links, logs and idle connections to targets.
const RESERVED_DESCRIPTORS: usize = 256;
/// One for the caller's connection and one for the connection to the target.
const DESCRIPTORS_PER_CALLER: usize = 2;
const MAX_CALLERS: usize = 32_768;
const MIN_CALLERS: usize = 64;

/// Returns the maximum number of concurrent callers of this process.
pub fn max_callers() -> usize {
    let text = std::fs::read_to_string(LIMITS_FILE).unwrap_or_default();
    callers_for(open_files(&text))
}

/// Returns the maximum number of concurrent callers for a limit on open files; `None` means
/// unlimited.
pub fn callers_for(open_files: Option<usize>) -> usize {
    let limit = open_files.unwrap_or(usize::MAX);
    let callers = limit.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_CALLER;
    callers.clamp(MIN_CALLERS, MAX_CALLERS)
}

/// Parses the soft limit on open files from the text of `/proc/self/limits`; `None` if unlimited or
/// not found.
pub fn open_files(limits: &str) -> Option<usize> {
    let line = limits.lines().find(|line| line.starts_with(LIMIT_NAME))?;
    let soft = line[LIMIT_NAME.len()..].split_whitespace().next()?;
    soft.parse().ok()
}
