//! Key ranges whose owners refuse requests, because they do not hold the keys although they were
//! announced to.
//!
//! Grants expire unannounced when no leader renews them. Requests for such keys are then refused at
//! once, except for one from time to time that shows whether the owner holds them again.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::TargetId;
use crate::node::keys::map::KeyRange;
use crate::node::keys::view::RangeLocation;

/// How long refusals must last before they count: an announcement of a move may arrive after the move.
const CONFIRM_TIME: Duration = Duration::from_millis(150);
/// Time until the owner is asked again; doubled by each further refusal, up to the maximum.
const MIN_PAUSE: Duration = Duration::from_millis(250);
const MAX_PAUSE: Duration = Duration::from_millis(1_000);

/// The refused ranges of a service.
#[derive(Debug, Default)]
pub(super) struct RefusedRanges {
    /// By the first key of the range.
    ranges: BTreeMap<u16, RefusedRange>,
}

#[derive(Debug)]
struct RefusedRange {
    range: KeyRange,
    owner: TargetId,
    /// When the first refusal arrived.
    since: Instant,
    /// When the newest refusal that counted arrived.
    refused_at: Instant,
    pause: Duration,
    /// When the next request may be sent; `None` until refusals have lasted for a while.
    next_send: Option<Instant>,
}

impl RefusedRange {
    fn is_of(&self, location: &RangeLocation) -> bool {
        self.range == location.range && location.owner.as_ref() == Some(&self.owner)
    }
}

impl RefusedRanges {
    /// Records that the owner of a range refused a request that was sent at `sent_at`.
    pub(super) fn record(&mut self, location: &RangeLocation, sent_at: Instant, now: Instant) {
        let Some(owner) = &location.owner else {
            return;
        };
        let known = self.ranges.get_mut(&location.range.first);
        let Some(refused) = known.filter(|refused| refused.is_of(location)) else {
            let refused = RefusedRange {
                range: location.range,
                owner: owner.clone(),
                since: now,
                refused_at: now,
                pause: MIN_PAUSE,
                next_send: None,
            };
            self.ranges.insert(location.range.first, refused);
            return;
        };
        let lasts = sent_at.saturating_duration_since(refused.since) >= CONFIRM_TIME;
        if lasts && sent_at > refused.refused_at {
            refused.refused_at = now;
            refused.next_send = Some(now + refused.pause);
            refused.pause = (refused.pause * 2).min(MAX_PAUSE);
        }
    }

    /// Permits a request to be sent to the owner of a range, or returns when the next one may be sent.
    pub(super) fn permit(&mut self, location: &RangeLocation, now: Instant) -> Result<(), Instant> {
        let known = self.ranges.get_mut(&location.range.first);
        let Some(refused) = known.filter(|refused| refused.is_of(location)) else {
            return Ok(());
        };
        match refused.next_send {
            Some(next) if now < next => Err(next),
            Some(_) => {
                refused.next_send = Some(now + refused.pause);
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Returns when the next request for a range may be sent to its owner; `None` if at any time.
    pub(super) fn next_send(&self, location: &RangeLocation) -> Option<Instant> {
        let known = self.ranges.get(&location.range.first);
        known
            .filter(|refused| refused.is_of(location))
            .and_then(|refused| refused.next_send)
    }

    /// Forgets refusals of keys in a range, which were announced again or served.
    pub(super) fn forget(&mut self, range: KeyRange) {
        self.ranges.retain(|_, refused| {
            refused.range.last < range.first || range.last < refused.range.first
        });
    }

    /// Forgets all refusals.
    pub(super) fn clear(&mut self) {
        self.ranges.clear();
    }
}
