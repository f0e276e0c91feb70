//! Remembers which targets answered orders last, to tell the loss of a target from that of this node's
//! own links.

use std::time::Instant;

use crate::node::keys::map::Holder;

/// The last answered orders of two different targets.
#[derive(Debug, Default)]
pub(super) struct Answers {
    /// The target whose answer arrived last, and when its order was sent.
    last: Option<(Holder, Instant)>,
    /// The same for the last answer of any other target.
    other: Option<(Holder, Instant)>,
}

impl Answers {
    /// Records that a target answered an order that was sent at `sent_at`.
    pub(super) fn record(&mut self, target: &Holder, sent_at: Instant) {
        match &mut self.last {
            Some((last, at)) if last == target => *at = sent_at.max(*at),
            _ => {
                self.other = self.last.take();
                self.last = Some((target.clone(), sent_at));
            }
        }
    }

    /// Returns true if a target other than this one answered an order that was sent after `since`.
    pub(super) fn any_other(&self, target: &Holder, since: Instant) -> bool {
        let answers = [&self.last, &self.other];
        let mut answers = answers.into_iter().flatten();
        answers.any(|(holder, sent_at)| holder != target && *sent_at > since)
    }
}
