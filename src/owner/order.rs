//! The orders that a controller sends to a target, as JSON over HTTP: `POST /grants`.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::BootId;
use crate::ids::Fence;
use crate::ids::GroupId;
use crate::ids::Shard;
use crate::ids::Term;

/// How long a target serves its shards, counted from the stamp that the order echoes.
pub const GRANT_LEASE: Duration = Duration::from_millis(500);

/// Request header with the shard that a keyed request belongs to.
pub const SHARD_HEADER: &str = "x-gooseberryloft-shard";
/// Request header with the fence that the entry knows for the shard.
pub const FENCE_HEADER: &str = "x-gooseberryloft-fence";
/// Request header with the group of a keyed request, as `SERVICE/INDEX`.
pub const GROUP_HEADER: &str = "x-gooseberryloft-group";
/// Request header with a number that is unique to the attempt. If a target echoes it in its
/// response, the entry can reject a response that belongs to another attempt.
pub const REQUEST_HEADER: &str = "x-gooseberryloft-request";
/// Request header with the remaining time for the response, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-gooseberryloft-deadline-ms";
/// Response header: `not-run` if the request did not run, `unknown` if it may have run.
pub const OUTCOME_HEADER: &str = "x-gooseberryloft-outcome";

/// A time on the target's own clock, which only the target interprets.
///
/// A lease starts at the stamp that the order echoes, so a delayed or duplicated order cannot
/// extend it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Stamp(pub u64);

/// A shard with the fence of its assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardFence {
    /// The assigned shard.
    pub shard: Shard,
    /// The fence that the shard is assigned with.
    pub fence: Fence,
}

/// An order of a controller to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The group whose shards the order concerns.
    pub group: GroupId,
    /// The sender's term. A target that checks terms refuses a lower one than it has seen.
    pub term: Term,
    /// The target process that the order is for; 0 if it is not known yet.
    pub boot: BootId,
    /// The stamp of the target's last reply. `None` requests a stamp and extends no lease.
    pub stamp: Option<Stamp>,
    /// Shards that the target may serve from now on.
    pub grant: Vec<ShardFence>,
    /// Shards that the target must stop serving with this fence or a lower one; requires a valid
    /// stamp.
    pub release: Vec<ShardFence>,
    /// Duration of the lease from the stamp, in milliseconds.
    pub lease_ms: u64,
}

/// The target's reply to an [`Order`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// The target process that replies.
    pub boot: BootId,
    /// The time of the reply on the target's clock.
    pub stamp: Stamp,
    /// Why the order was refused. A refused order has no effect.
    pub refused: Option<Refusal>,
    /// Shards that are released: the target has stopped serving them and no request is in flight.
    pub released: Vec<ShardFence>,
    /// Shards of the order's grants that the target now holds.
    #[serde(default)]
    pub granted: Vec<ShardFence>,
    /// Shards of the order's grants that were denied because their fence is too low.
    #[serde(default)]
    pub denied: Vec<ShardFence>,
    /// The highest term seen for the group; `None` if the target does not check terms.
    #[serde(default)]
    pub term: Option<Term>,
    /// Number of shards of the group that the target holds after the order.
    pub held: u32,
    /// [Digest](crate::owner::grants::digest) of the shards and fences held after the order.
    pub digest: u64,
}

/// Why a target refuses an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The order has a lower term than the target has seen.
    OldTerm,
    /// The order was for an earlier process at this address.
    WrongBoot,
    /// The lease from this stamp has already expired, or the stamp is older than the last release.
    OldStamp,
}
