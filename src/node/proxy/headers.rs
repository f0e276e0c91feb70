//! Names of the header fields exchanged with callers and targets. They depend on the platform and
//! are part of the node's configuration.

/// Header field in requests that a node passes on to another: how many targets may run the request.
pub const MAX_ATTEMPTS: &str = "gooseberryloft-max-attempts";

/// Header field in requests that a node passes on to another: the version of its rules. A node with other
/// rules might handle the request in a way that the caller's node no longer does.
pub const RULES: &str = "gooseberryloft-rules";
/// Header field in requests that a node passes on to another: the service that it has chosen.
pub const SERVICE: &str = "gooseberryloft-service";

/// Header field names in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// The caller's request ID; the target echoes it in its response.
    pub request_id: &'static str,
    /// The time for which the sender waits for a response, in milliseconds.
    pub deadline_ms: &'static str,
    /// Present in every successful response that the target itself issued; responses without it are
    /// rejected.
    pub seal: &'static str,
    /// ID of the only target that may run the request.
    pub expected_target: &'static str,
    /// Present in responses to requests that the target did not run.
    pub not_run: &'static str,
    /// ID of the target that responds, if it is not the one that the request is meant for.
    pub target: &'static str,
    /// Has the value `1` in every response of a target that is shutting down.
    pub leaving: &'static str,
    /// The requests per second that a target which is overloaded accepts from all nodes together.
    pub limit: &'static str,
    /// The load of the target that responds: requests running and waiting, slots, and the time that work
    /// takes at present in percent of the usual, separated by commas.
    pub load: &'static str,
    /// How much longer the target that responds is cold, in milliseconds.
    pub cold_ms: &'static str,
    /// The key, required in requests to services whose keys have exclusive owners.
    pub key: &'static str,
}
