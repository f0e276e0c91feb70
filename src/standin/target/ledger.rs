//! The record of the requests that a target ran, to detect repeated work and double ownership.

use std::collections::BTreeMap;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::GroupId;
use crate::owner::order::ShardFence;

/// One keyed request that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// The group that the request's key belongs to.
    pub group: GroupId,
    /// The shard and the fence of the grant that covered the request.
    pub at: ShardFence,
    /// Time of the effect by the system clock, in microseconds since the Unix epoch.
    pub unix_us: u64,
}

/// The requests that a target ran since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The number of runs of each booking, by its id.
    pub bookings: BTreeMap<String, u32>,
    /// The keyed requests that took effect, in order.
    pub effects: Vec<Effect>,
}

impl Ledger {
    /// Records one run of a booking.
    pub fn record_booking(&mut self, id: &str) {
        *self.bookings.entry(id.to_owned()).or_default() += 1;
    }

    /// Records a keyed request that takes effect now, under the fence in `at`.
    pub fn record_effect(&mut self, group: &GroupId, at: ShardFence) {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_us = elapsed.unwrap_or_default().as_micros() as u64;
        let group = group.clone();
        self.effects.push(Effect { group, at, unix_us });
    }
}
