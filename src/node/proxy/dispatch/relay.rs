//! Passes a request on to another node, which reaches targets that this one does not reach.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::ids::VmId;
use crate::node::fleet::Target;
use crate::node::pick;
use crate::node::proxy::attempt::AttemptOutcome;
use crate::node::proxy::dispatch::Dispatch;
use crate::node::proxy::dispatch::Outcome;
use crate::node::proxy::dispatch::Refusal;
use crate::node::proxy::serve::Origin;
use crate::node::relays::RelayCriteria;
use crate::node::state::State;

/// Maximum number of nodes that are asked in turn to serve a request.
const MAX_RELAYS: u32 = 3;
/// How long a node that refused a request because it does not reach the target is not asked again.
const UNREACHED_TIME: Duration = Duration::from_millis(1_000);

impl Dispatch<'_> {
    /// Returns true if another node should serve the request, since this one reaches no target, or
    /// not the owner of the key.
    pub(super) fn needs_relay(&self, now: Instant) -> bool {
        let reach = &self.state.reach;
        if self.routed.origin == Origin::Node || !reach.is_stranded() && !reach.any_unreachable() {
            return false;
        }
        let owner = self.routed.key.and_then(|key| self.owner(key).ok());
        reach.is_stranded() || owner.is_some_and(|owner| !owner.link.takes_requests(now))
    }

    /// Returns a node to pass the request on to, which reaches the process in `relayed_to`. A request
    /// that was passed on once is not passed on again.
    pub(super) fn choose_relay(&self, now: Instant) -> Option<Rc<Target>> {
        if self.routed.origin == Origin::Node || self.relays_asked >= MAX_RELAYS {
            return None;
        }
        let State {
            conf,
            relays,
            reach,
            ..
        } = &**self.state;
        let is_reported = |node: &VmId| {
            let process = self.relayed_to;
            process.is_some_and(|process| reach.is_reported(node, process, now))
        };
        let criteria = RelayCriteria {
            data_centre: &conf.data_centre,
            rules: self.routed.rules,
            tried: &self.tried,
            now,
        };
        relays.choose(&criteria, |node| !is_reported(node), rand::random)
    }

    /// Returns a node that reaches one of the targets that has capacity.
    pub(super) fn choose_relay_to_any(
        &mut self,
        targets: &[Rc<Target>],
        now: Instant,
    ) -> Option<Rc<Target>> {
        let able = targets.iter().filter(|target| {
            !target.leaving.get()
                && !target.is_withheld(now)
                && pick::has_room(target, self.routed.objective, 1, now)
        });
        let able: Vec<_> = able.map(|target| target.process_tag()).collect();
        able.into_iter().find_map(|process| {
            self.relayed_to = Some(process);
            self.choose_relay(now)
        })
    }

    /// Handles the result of another node, which has made all attempts that are useful.
    pub(super) fn handle_relayed(
        &mut self,
        relay: &Target,
        outcome: AttemptOutcome,
        now: Instant,
        none_running: bool,
    ) -> Option<Outcome> {
        match outcome {
            AttemptOutcome::Complete(response) => {
                relay.record_response(now.saturating_duration_since(self.routed.started), false);
                Some(Outcome::Response(response))
            }
            AttemptOutcome::Streaming(response, stream) => Some(Outcome::Stream(response, stream)),
            AttemptOutcome::NotRun { status } if status != 421 => {
                self.take_back_relay();
                self.log_failure(relay, "not-run", status);
                none_running.then(|| self.give_up(Refusal::Busy))
            }
            AttemptOutcome::NotRun { .. } if self.relayed_to.is_some() => {
                self.take_back_relay();
                self.record_unreached_by(relay, now);
                self.log_failure(relay, "not-relayed", 0);
                None
            }
            AttemptOutcome::NotRun { .. }
            | AttemptOutcome::NotSent
            | AttemptOutcome::Withheld
            | AttemptOutcome::RateLimited => {
                self.take_back_relay();
                relay.eject(now);
                self.log_failure(relay, "not-relayed", 0);
                None
            }
            AttemptOutcome::CallerLeft => {
                self.log_send_skipped();
                Some(Outcome::CallerLeft)
            }
            AttemptOutcome::NoValidResponse(reason) => {
                relay.record_failure(now);
                self.failure = Some(reason);
                self.log_failure(relay, reason, 0);
                self.retry_or_give_up(none_running)
            }
        }
    }

    /// Uncounts a request that another node did not run.
    fn take_back_relay(&mut self) {
        self.possible_runs -= self.relayed_runs.take().unwrap_or(0);
        self.sends -= 1;
    }

    /// Records that a node does not reach the target that it was to send the request to.
    fn record_unreached_by(&self, relay: &Target, now: Instant) {
        if let Some(process) = self.relayed_to {
            let node = VmId::from(relay.entry.id.as_str());
            let until = now + UNREACHED_TIME;
            self.state.reach.record_report(&node, process, until);
        }
    }
}
