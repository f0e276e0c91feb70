//! What entries know of requests that crash targets, passed on to every VM.
//!
//! Each VM tells its neighbours all it knows whenever that grew. What is told twice changes
//! nothing, so the telling ends once all know the same.

use std::time::Duration;
use std::time::Instant;

use crate::link::Message;
use crate::route::CrashReport;
use crate::state_sync::Action;
use crate::state_sync::LinkId;
use crate::state_sync::StateSync;

const TELL_INTERVAL: Duration = Duration::from_millis(100);

impl StateSync {
    pub(super) fn take_crashes(&mut self, now: Instant, report: &CrashReport) {
        self.crashes.merge(report, now);
    }

    /// Tells all neighbours when more is known than they were told.
    pub(super) fn tell_crashes(&mut self, now: Instant, out: &mut Vec<Action>) {
        let known = self.crashes.version();
        if known == self.crashes_told || now < self.crashes_at {
            return;
        }
        self.crashes_told = known;
        self.crashes_at = now + TELL_INTERVAL;
        let links: Vec<LinkId> = self.links.keys().copied().collect();
        self.send_crashes(now, links, out);
    }

    /// Tells one neighbour all that is known, if anything is.
    pub(super) fn send_crashes(&self, now: Instant, links: Vec<LinkId>, out: &mut Vec<Action>) {
        let report = self.crashes.report(now);
        if !report.facts.is_empty() && !links.is_empty() {
            let message = Message::Crashes(report);
            out.push(Action::Send { links, message });
        }
    }
}
