//! What a target ran, for the checks of doubled work and double ownership.

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
    /// The group.
    pub group: GroupId,
    /// The shard and the fence that it was held under.
    pub at: ShardFence,
    /// When it took effect, in microseconds of the machine's clock.
    pub unix_us: u64,
}

/// What a target ran since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// How often each booking ran.
    pub bookings: BTreeMap<String, u32>,
    /// The keyed requests that took effect, in order.
    pub effects: Vec<Effect>,
}

impl Ledger {
    /// Records one run of a booking.
    pub fn book(&mut self, id: &str) {
        *self.bookings.entry(id.to_owned()).or_default() += 1;
    }

    /// Records a keyed request that takes effect now.
    pub fn take_effect(&mut self, group: &GroupId, at: ShardFence) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_us = since.unwrap_or_default().as_micros() as u64;
        let group = group.clone();
        self.effects.push(Effect { group, at, unix_us });
    }
}
