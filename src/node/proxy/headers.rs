//! The names of the header fields that callers, targets and the node share.

/// Field names, in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Names a caller's attempt; targets echo it.
    pub request_id: &'static str,
    /// The milliseconds that the sender waits.
    pub deadline_ms: &'static str,
    /// A target's proof that an answer is its own.
    pub seal: &'static str,
    /// The only target that may run the request.
    pub expected_target: &'static str,
    /// Says that the target did not run the request.
    pub not_run: &'static str,
    /// The key of a request to a service that is divided by key.
    pub key: &'static str,
}
