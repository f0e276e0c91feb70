//! Distributes the entries' reports of requests that crash targets to every VM.
//!
//! A VM sends its merged report to all linked peers whenever the report grew. Merging the same
//! report twice changes nothing, so the exchange stops once all VMs have the same report.

use std::time::Duration;
use std::time::Instant;

use crate::link::Message;
use crate::route::CrashReport;
use crate::state_sync::Action;
use crate::state_sync::LinkId;
use crate::state_sync::StateSync;

/// Shortest time between two crash reports to all peers.
const CRASH_REPORT_INTERVAL: Duration = Duration::from_millis(100);

impl StateSync {
    pub(super) fn on_crash_report(&mut self, now: Instant, report: &CrashReport) {
        self.crashes.merge(report, now);
    }

    /// Sends the report to all linked peers if it grew since it was last sent.
    pub(super) fn send_new_crashes(&mut self, now: Instant, out: &mut Vec<Action>) {
        let version = self.crashes.version();
        if version == self.crashes_sent_version || now < self.next_crash_report {
            return;
        }
        self.crashes_sent_version = version;
        self.next_crash_report = now + CRASH_REPORT_INTERVAL;
        let links: Vec<LinkId> = self.links.keys().copied().collect();
        self.send_crash_report(now, links, out);
    }

    /// Sends the report over the links unless it is empty.
    pub(super) fn send_crash_report(
        &self,
        now: Instant,
        links: Vec<LinkId>,
        out: &mut Vec<Action>,
    ) {
        let report = self.crashes.report(now);
        if !report.facts.is_empty() && !links.is_empty() {
            let message = Message::Crashes(report);
            out.push(Action::Send { links, message });
        }
    }
}
