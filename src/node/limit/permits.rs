//! Permits to send one request to a target that has named a limit.
//!
//! One node issues the permits for a target. With a share for each node instead, most of a limit
//! would be lost: with many nodes a share is less than one request in seconds, and callers, and so
//! the requests for a target, are divided unevenly.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::VmId;
use crate::node::datagram::Tag;
use crate::node::limit::RequestRate;

/// Lower bound of the rate at which permits are issued. Without any request, no response could show
/// that the target accepts more again.
const MIN_RATE: f64 = 0.5;
/// Permits that accumulate while nobody asks for one, as a time at the target's limit and at least.
const BURST_TIME: Duration = Duration::from_millis(250);
const MIN_BURST: f64 = 1.0;
/// Bounds of the time after which a node asks again.
const MIN_WAIT: Duration = Duration::from_millis(50);
const MAX_WAIT: Duration = Duration::from_secs(10);
/// How long a target's permits are remembered after the last request for one; longer than they take
/// to accumulate.
const MEMORY: Duration = Duration::from_secs(120);

/// A target's process, as it is named in datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessTag {
    /// Tag of the target's id.
    #[serde(rename = "t")]
    pub target: Tag,
    /// Start time of the process.
    #[serde(rename = "l")]
    pub incarnation: u64,
}

/// The answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request may be sent now.
    Granted,
    /// The request must not be sent; the next permit is expected after this time.
    Denied(Duration),
}

/// Issues permits at the rates of the targets' limits.
#[derive(Debug, Default)]
pub struct Permits {
    buckets: BTreeMap<ProcessTag, Bucket>,
}

/// A token bucket.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    updated: Instant,
}

impl Permits {
    /// Issues a permit for a target, or says when the next one is expected. `rate` is the rate of
    /// issue, which may differ from call to call.
    ///
    /// There is none at first: another node may have issued permits until now.
    pub fn take(&mut self, process: ProcessTag, rate: f64, now: Instant) -> Verdict {
        let bucket = self.buckets.entry(process).or_insert(Bucket {
            tokens: 0.0,
            updated: now,
        });
        let burst = (rate * BURST_TIME.as_secs_f64()).max(MIN_BURST);
        let elapsed = now.saturating_duration_since(bucket.updated);
        bucket.tokens = (bucket.tokens + rate * elapsed.as_secs_f64()).min(burst);
        bucket.updated = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Verdict::Granted;
        }
        let wait = Duration::try_from_secs_f64((1.0 - bucket.tokens) / rate);
        Verdict::Denied(wait.unwrap_or(MAX_WAIT).clamp(MIN_WAIT, MAX_WAIT))
    }

    /// Forgets the targets for which no permit was requested for long.
    pub fn expire(&mut self, now: Instant) {
        self.buckets
            .retain(|_, bucket| now.saturating_duration_since(bucket.updated) < MEMORY);
    }
}

/// Returns the rate at which permits are issued for a target with this limit.
pub fn issue_rate(limit: RequestRate) -> f64 {
    limit.per_second().max(MIN_RATE)
}

/// Returns the node that issues the permits for a target: another node with the same list of nodes
/// gets the same result, and a node that joins or is lost changes it for few targets.
pub fn issuer<'a>(target: Tag, nodes: impl Iterator<Item = &'a VmId>) -> Option<&'a VmId> {
    nodes.max_by_key(|node| issuer_rank(target, node))
}

/// Returns the rank of a node for a target; the highest one issues its permits.
pub fn issuer_rank(target: Tag, node: &VmId) -> u64 {
    xxh3_64_with_seed(node.as_str().as_bytes(), target.0.into())
}
