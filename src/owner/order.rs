//! The orders that a controller sends to a target, as JSON over HTTP: `POST /grants`.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::BootId;
use crate::ids::Fence;
use crate::ids::GroupId;
use crate::ids::Shard;
use crate::ids::Term;

/// How long a target serves its shards after the stamp that an order carries.
pub const GRANT_LEASE: Duration = Duration::from_millis(500);

/// Request header that names the shard a keyed request belongs to.
pub const SHARD_HEADER: &str = "x-gooseberryloft-shard";
/// Request header that names the fence the entry believes in force.
pub const FENCE_HEADER: &str = "x-gooseberryloft-fence";
/// Request header that names the group of a keyed request, as `SERVICE/INDEX`.
pub const GROUP_HEADER: &str = "x-gooseberryloft-group";
/// Request header with a number of the attempt's own; a target that echoes it in its answer lets
/// the entry tell a crossed or doubled answer from the right one.
pub const REQUEST_HEADER: &str = "x-gooseberryloft-request";
/// Request header with the time left to answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-gooseberryloft-deadline-ms";
/// Response header: `not-run` when the request certainly did not run, `unknown` when it may have.
pub const OUTCOME_HEADER: &str = "x-gooseberryloft-outcome";

/// A moment on the target's own clock: a count that the target alone interprets.
///
/// A lease counts from the stamp that the order echoes, so an order that was delayed or doubled on
/// its way cannot stretch it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Stamp(pub u64);

/// One shard with the fence of its assignment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardFence {
    /// The shard.
    pub shard: Shard,
    /// The fence it is held under.
    pub fence: Fence,
}

/// What a controller tells a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The group whose shards the order concerns.
    pub group: GroupId,
    /// The sender's term; a target that checks refuses an older one than it has seen.
    pub term: Term,
    /// The target's process the order is meant for; 0 when not known yet.
    pub boot: BootId,
    /// The stamp from the target's last reply; `None` asks for a stamp and extends nothing.
    pub stamp: Option<Stamp>,
    /// Shards to serve from now on.
    pub grant: Vec<ShardFence>,
    /// Shards to serve no longer, under this fence or an older one; needs a fresh stamp.
    pub release: Vec<ShardFence>,
    /// The length of the lease from the stamp, in milliseconds.
    pub lease_ms: u64,
}

/// What the target answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// The target's process.
    pub boot: BootId,
    /// A stamp of the moment the target answered.
    pub stamp: Stamp,
    /// Why the order was refused; nothing of it took effect.
    pub refused: Option<Refusal>,
    /// Shards confirmed as served no longer: the release is complete, nothing in flight.
    pub released: Vec<ShardFence>,
    /// Shards of the order's grants that are held now.
    #[serde(default)]
    pub granted: Vec<ShardFence>,
    /// Shards of the order's grants whose fence is too low for the target to hold them.
    #[serde(default)]
    pub denied: Vec<ShardFence>,
    /// The newest term seen for the group, from a target that refuses orders of older ones.
    #[serde(default)]
    pub term: Option<Term>,
    /// The number of shards held after the order.
    pub held: u32,
    /// A digest of the shards and fences held after the order; see [`crate::owner::grants::digest`].
    pub digest: u64,
}

/// Why a target refuses an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The order came from an older term than one seen.
    OldTerm,
    /// The order was meant for an earlier process at this address.
    WrongBoot,
    /// The stamp is too old to leave any lease, or older than the last release.
    OldStamp,
}
