//! Selects targets for a request: the first one, and further ones for retries and hedged requests.

mod queued;
mod relay;

use std::borrow::Cow;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesUnordered;
use strum::IntoStaticStr;

use crate::events::Event;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::node::cold;
use crate::node::counters::Counter;
use crate::node::evacuations::may_send;
use crate::node::fleet::Target;
use crate::node::limit::ProcessTag;
use crate::node::links;
use crate::node::pick;
use crate::node::pick::PickContext;
use crate::node::probe::reaches_others;
use crate::node::proxy::attempt::AttemptContext;
use crate::node::proxy::attempt::AttemptOutcome;
use crate::node::proxy::attempt::Request;
use crate::node::proxy::attempt::Response;
use crate::node::proxy::attempt::ResponseStream;
use crate::node::proxy::attempt::attempt;
use crate::node::proxy::conn::CallerStatus;
use crate::node::proxy::serve::Origin;
use crate::node::queues::QueuePlace;
use crate::node::queues::Resource;
use crate::node::rules::RequestKind;
use crate::node::state::State;
use crate::route::Verdict;

/// Fraction of the latency objective for which a request waits for a target that it was not sent to
/// yet. A refusal this early costs the caller nothing.
const TARGET_WAIT_FRACTION: f64 = 0.2;
/// Fraction of the latency objective for which a request waits for a key that is being moved. A
/// move takes as long as the requests that are still running.
const MOVE_WAIT_FRACTION: f64 = 0.5;
/// Fraction of the latency objective after which an idempotent request without a response is also
/// sent to a second target (a hedged request).
const HEDGE_DELAY_FRACTION: f64 = 0.6;
/// Interval at which owners and slots are checked again when no notification arrives.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before a request is sent again after its owner refused it or was unreachable.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum number of sends of one request, including those that a target refused.
const MAX_SENDS: u32 = 5;
/// HTTP statuses from this value on count as failures of the target.
const MIN_SERVER_ERROR: u16 = 500;

/// A request's route: its service, key and limits.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// The service that the request is sent to.
    pub service: ServiceId,
    /// The kind, which determines whether the request may run more than once.
    pub kind: RequestKind,
    /// The key, for a service whose keys have exclusive owners.
    pub key: Option<u16>,
    /// The latency objective of the route.
    pub objective: Duration,
    /// Priority of the route under overload; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of targets that may run the request.
    pub max_attempts: u32,
    /// The version of the rules that the route is from.
    pub rules: u64,
    /// When the node began to read the request.
    pub started: Instant,
    /// When the response is due: the earlier of the caller's and the route's timeout.
    pub deadline: Instant,
    /// Hash of the method, path and body, by which requests that crash targets are recognised.
    pub fingerprint: u64,
    /// Hash of the caller's address and the request, by which requests that come again are recognised.
    pub source: u64,
    /// Who sent the request to this node.
    pub origin: Origin,
}

/// The result of a request for its caller.
#[derive(Debug)]
pub enum Outcome {
    /// A target's complete response.
    Response(Response),
    /// The start of a target's response, and the body that remains to be streamed.
    Stream(Response, Box<ResponseStream>),
    /// No target's response is available.
    Refused(Refusal),
    /// The caller has disconnected.
    CallerLeft,
}

/// Why a request received no response from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The service has no available target.
    NoTarget,
    /// All targets of the service are in data centres that are evacuated.
    Evacuated,
    /// No target has free capacity.
    Busy,
    /// The targets that could run the request have named limits, which are used up, or asked for a
    /// pause.
    RateLimited,
    /// No target holds the key at present.
    NoOwner,
    /// The owner of the key does not hold it, and no other target is known to.
    Unheld,
    /// No attempt succeeded, and the retry limits do not permit another.
    Shed,
    /// The node is shutting down, and the request might not end before that.
    Stopping,
    /// Another node passed the request on, and this one does not reach the target either.
    Stranded,
    /// Neither this node nor another one reaches the owner of the key.
    Unreached,
    /// Requests with the same fingerprint crashed targets.
    Quarantined,
    /// The request may have run, but its response was lost.
    Lost,
    /// The deadline has passed while the request may still be running.
    Late,
}

/// A finished attempt with its outcome.
struct FinishedAttempt {
    target: Rc<Target>,
    sent_at: Instant,
    /// True if all slots of the target were busy when the request was sent.
    was_saturated: bool,
    outcome: AttemptOutcome,
}

type Running<'a> = FuturesUnordered<LocalBoxFuture<'a, FinishedAttempt>>;

/// State of one request across its attempts.
struct Dispatch<'a> {
    state: &'a Rc<State>,
    routed: &'a RoutedRequest,
    request: &'a Request,
    caller: CallerStatus<'a>,
    tried: Vec<TargetId>,
    /// Targets that refused the request.
    refused_by: Vec<TargetId>,
    first_send_recorded: bool,
    sends: u32,
    /// Number of sends after which the request may have run.
    possible_runs: u32,
    /// When the request began to wait for a target; restarts after each failed attempt.
    waiting_since: Instant,
    wait_reason: Option<Refusal>,
    /// The place in the queue in which the request waits for a slot.
    place: Option<QueuePlace<'a>>,
    paused_until: Option<Instant>,
    last_response: Option<Response>,
    failure: Option<&'static str>,
    /// Number of possible runs that are left to another node, once it was asked to serve the request.
    relayed_runs: Option<u32>,
    /// Number of nodes that were asked to serve the request.
    relays_asked: u32,
    /// The owner's process that the last of them was to send the request to.
    relayed_to: Option<ProcessTag>,
}

/// Counts a request as in flight at a target until dropped.
struct InFlightGuard<'a> {
    state: &'a State,
    target: Rc<Target>,
}

impl<'a> InFlightGuard<'a> {
    fn new(state: &'a State, target: Rc<Target>) -> Self {
        target.in_flight.set(target.in_flight.get() + 1);
        Self { state, target }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let count = &self.target.in_flight;
        count.set(count.get().saturating_sub(1));
        let (now, entry) = (Instant::now(), &self.target.entry);
        let queues = &self.state.queues;
        queues.wake_next(&Resource::Owner(entry.id.clone()), now);
        queues.wake_next(&Resource::Service(entry.service.clone()), now);
    }
}

/// Sends a request to targets until there is a result for its caller.
pub async fn dispatch(
    state: &Rc<State>,
    routed: &RoutedRequest,
    request: &Request,
    caller: CallerStatus<'_>,
) -> Outcome {
    if let Verdict::Quarantined = state.crashes.verdict(routed.fingerprint, Instant::now()) {
        return Outcome::Refused(Refusal::Quarantined);
    }
    if state.would_abort(routed.deadline) {
        return Outcome::Refused(Refusal::Stopping);
    }
    if routed.origin == Origin::Node && state.reach.is_stranded() {
        return Outcome::Refused(Refusal::Stranded);
    }
    let mut dispatch = Dispatch {
        state,
        routed,
        request,
        caller,
        tried: Vec::new(),
        refused_by: Vec::new(),
        first_send_recorded: false,
        waiting_since: routed.started,
        sends: 0,
        possible_runs: 0,
        wait_reason: None,
        place: None,
        paused_until: None,
        last_response: None,
        failure: None,
        relayed_runs: None,
        relays_asked: 0,
        relayed_to: None,
    };
    if let Some(key) = routed.key
        && !dispatch.needs_relay(Instant::now())
    {
        state.count_key(&routed.service, key);
    }
    dispatch.run().await
}

impl<'a> Dispatch<'a> {
    async fn run(&mut self) -> Outcome {
        let mut running = FuturesUnordered::new();
        loop {
            let now = Instant::now();
            if now >= self.routed.deadline {
                return self.timed_out(&running);
            }
            let needs_target = running.is_empty() || self.should_hedge(&running, now);
            if needs_target {
                match self.next_target(now) {
                    Ok(target) => {
                        if !self.permit_send(now) {
                            if running.is_empty() {
                                return self.give_up(Refusal::Shed);
                            }
                            self.possible_runs = self.routed.max_attempts;
                        } else {
                            self.leave_queue(&target, now);
                            self.launch(&mut running, target, now);
                        }
                        continue;
                    }
                    Err(reason) if running.is_empty() => match self.wait(reason, now).await {
                        true => continue,
                        false => return self.give_up(reason),
                    },
                    Err(_) => {}
                }
            }
            let until = self.next_wakeup(&running, now);
            let reach_changed = self.state.reach.changed.notified();
            tokio::select! {
                biased;
                Some(finished) = running.next() => {
                    if let Some(result) = self.handle_finished(finished, running.is_empty()) {
                        return result;
                    }
                }
                () = tokio::time::sleep_until(until.into()) => {}
                () = reach_changed => {}
            }
        }
    }

    /// Returns the target for the next send, or the reason to wait.
    fn next_target(&mut self, now: Instant) -> Result<Rc<Target>, Refusal> {
        if self.is_evacuated(now) {
            return Err(Refusal::Evacuated);
        }
        if self.routed.origin == Origin::Caller && self.state.reach.is_stranded() {
            let owner = self.routed.key.and_then(|key| self.owner(key).ok());
            self.relayed_to = owner.map(|owner| owner.process_tag());
            if let Some(relay) = self.choose_relay(now) {
                return Ok(relay);
            }
        }
        if self.paused_until.is_some_and(|until| now < until) {
            return Err(self.wait_reason.unwrap_or(Refusal::Busy));
        }
        match self.routed.key {
            Some(key) => self.find_owner(key, now),
            None => self.choose_target(now),
        }
    }

    /// Returns the targets that may get unkeyed requests, as their data centres are not evacuated.
    fn open_targets<'t>(&self, targets: &'t [Rc<Target>], now: Instant) -> Cow<'t, [Rc<Target>]> {
        if self.state.evacuations.borrow().is_empty() {
            return Cow::Borrowed(targets);
        }
        let is_open = |target: &&Rc<Target>| may_send(self.state, target, false, now);
        Cow::Owned(targets.iter().filter(is_open).cloned().collect())
    }

    /// Returns true if the service has targets, but all of them are in evacuated data centres, so that
    /// no keys can move either.
    fn is_evacuated(&self, now: Instant) -> bool {
        if self.state.evacuations.borrow().is_empty() {
            return false;
        }
        let fleet = self.state.fleet.borrow();
        let targets = fleet.of(&self.routed.service);
        let mut open = targets
            .iter()
            .filter(|target| may_send(self.state, target, false, now));
        pick::has_any(targets) && open.all(|target| target.leaving.get())
    }

    fn choose_target(&mut self, now: Instant) -> Result<Rc<Target>, Refusal> {
        let fleet = self.state.fleet.borrow();
        let targets = &*self.open_targets(fleet.of(&self.routed.service), now);
        if !pick::has_any(targets) {
            return Err(Refusal::NoTarget);
        }
        if !self.state.reach.any_unreachable() {
            return self.after_others(self.pick(targets, now), now);
        }
        let (reached, unreached): (Vec<_>, Vec<_>) = targets
            .iter()
            .cloned()
            .partition(|target| links::can_send(self.state, target, now));
        let none_reached = !pick::has_any(&reached);
        if none_reached && self.routed.origin == Origin::Node {
            return Err(Refusal::Stranded);
        }
        let chosen = self.pick(&reached, now);
        if chosen.is_ok() {
            return self.after_others(chosen, now);
        }
        if let Some(relay) = self.choose_relay_to_any(&unreached, now) {
            return Ok(relay);
        }
        match none_reached {
            true => self.after_others(self.pick(targets, now), now),
            false => chosen,
        }
    }

    fn pick(&self, targets: &[Rc<Target>], now: Instant) -> Result<Rc<Target>, Refusal> {
        let context = PickContext {
            now,
            data_centre: &self.state.conf.data_centre,
            kind: self.routed.kind,
            objective: self.routed.objective,
            tried: &self.tried,
            max_connections: self.state.max_connections(&self.routed.service),
            has_cold_start: cold::has_cold_start(self.state, &self.routed.service),
        };
        let chosen = pick::choose(targets, &context, rand::random);
        chosen.ok_or_else(|| match pick::all_withheld(targets, now) {
            true => Refusal::RateLimited,
            false => Refusal::Busy,
        })
    }

    /// Returns the owner of a key, unless it is unknown, leaving or does not hold the key yet.
    fn owner(&self, key: u16) -> Result<Rc<Target>, Refusal> {
        let views = self.state.views.borrow();
        let range = views
            .get(&self.routed.service)
            .and_then(|view| view.find(key));
        let range = range
            .filter(|range| !range.pending)
            .ok_or(Refusal::NoOwner)?;
        let fleet = self.state.fleet.borrow();
        let owner = range.owner.as_ref().and_then(|id| fleet.get(id));
        let owner = owner.filter(|target| !target.leaving.get());
        owner.cloned().ok_or(Refusal::NoOwner)
    }

    fn find_owner(&mut self, key: u16, now: Instant) -> Result<Rc<Target>, Refusal> {
        let owner = self.owner(key)?;
        if !may_send(self.state, &owner, true, now) {
            return Err(Refusal::NoOwner);
        }
        if !links::can_send(self.state, &owner, now) {
            self.relayed_to = Some(owner.process_tag());
            return match self.routed.origin {
                Origin::Caller => self.choose_relay(now).ok_or(Refusal::Unreached),
                Origin::Node => Err(Refusal::Stranded),
            };
        }
        if owner.is_ejected(now)
            && owner.failure_rate() > 0.0
            && self.tried.contains(&owner.entry.id)
        {
            return Err(Refusal::NoOwner);
        }
        if owner.is_withheld(now) {
            return Err(Refusal::RateLimited);
        }
        let max_connections = self.state.max_connections(&self.routed.service);
        let data_centres = self.state.data_centres.get();
        if !pick::has_room(&owner, self.routed.objective, data_centres, now)
            || owner.in_flight.get() >= max_connections
            || !self.is_next(&Resource::Owner(owner.entry.id.clone()), now)
        {
            return Err(Refusal::Busy);
        }
        let mut views = self.state.views.borrow_mut();
        let view = views.get_mut(&self.routed.service);
        match view.map(|view| view.permit_send(key, now)) {
            Some(Err(_)) => Err(Refusal::Unheld),
            _ => Ok(owner),
        }
    }

    /// Records a send; returns false if the send limit or the retry budget does not permit it.
    fn permit_send(&mut self, now: Instant) -> bool {
        let service = &self.routed.service;
        // The first send of a request is recorded on the node that its caller sent it to.
        let is_first = !std::mem::replace(&mut self.first_send_recorded, true);
        if is_first && self.routed.origin == Origin::Caller {
            self.state.record_first_send(service, now);
        }
        if self.sends == 0 {
            return true;
        }
        let allowed = self.sends < MAX_SENDS && self.state.try_retry(service, now);
        self.state.counters.add(match allowed {
            true => Counter::Repeats,
            false => Counter::RepeatsDenied,
        });
        allowed
    }

    fn launch(&mut self, running: &mut Running<'a>, target: Rc<Target>, now: Instant) {
        self.sends += 1;
        let runs = match target.is_relay {
            true => {
                self.relays_asked += 1;
                self.state.counters.add(Counter::RequestsRelayed);
                let left = self.routed.max_attempts.saturating_sub(self.possible_runs);
                *self.relayed_runs.insert(left.max(1))
            }
            false => 1,
        };
        self.possible_runs += runs;
        if self.routed.key.is_none() || target.is_relay {
            self.tried.push(target.entry.id.clone());
        }
        let (state, request, routed): (&'a State, _, _) = (self.state, self.request, self.routed);
        let context = AttemptContext {
            state,
            pool: &state.pool,
            names: &state.conf.headers,
            idempotent: routed.kind.is_idempotent(),
            refused_before: self.refused_by.contains(&target.entry.id),
            max_attempts: runs,
            rules: routed.rules,
            keyed: routed.key.is_some(),
            service: &routed.service,
            deadline: routed.deadline,
            caller: self.caller,
        };
        let attempt = async move {
            let was_saturated = target.load() >= target.entry.slots;
            let in_flight = InFlightGuard::new(state, target);
            let outcome = attempt(context, request, &in_flight.target).await;
            FinishedAttempt {
                target: in_flight.target.clone(),
                sent_at: now,
                was_saturated,
                outcome,
            }
        };
        running.push(attempt.boxed_local());
    }

    fn should_hedge(&self, running: &Running<'a>, now: Instant) -> bool {
        let is_due = self.needs_relay(now) || self.routed.key.is_none() && now >= self.hedge_at();
        is_due
            && self.relayed_runs.is_none()
            && running.len() == 1
            && self.routed.kind.is_idempotent()
            && self.possible_runs < self.routed.max_attempts
    }

    fn hedge_at(&self) -> Instant {
        self.routed.started + self.routed.objective.mul_f64(HEDGE_DELAY_FRACTION)
    }

    fn next_wakeup(&self, running: &Running<'a>, now: Instant) -> Instant {
        let may_hedge = running.len() == 1
            && self.routed.key.is_none()
            && self.routed.kind.is_idempotent()
            && self.possible_runs < self.routed.max_attempts;
        if !may_hedge {
            return self.routed.deadline;
        }
        let at = self.hedge_at().max(now + POLL_INTERVAL);
        at.min(self.routed.deadline)
    }

    fn max_wait(&self, reason: Refusal) -> Duration {
        match reason {
            Refusal::NoOwner => self.routed.objective.mul_f64(MOVE_WAIT_FRACTION),
            Refusal::RateLimited => self.max_permit_wait(),
            // More requests are made than the targets accept, so others take the next permits.
            Refusal::Unheld => Duration::ZERO,
            // No target returns before the operators end an evacuation.
            Refusal::Evacuated => Duration::ZERO,
            // Another node may reach the target, or none does.
            Refusal::Stranded | Refusal::Unreached => Duration::ZERO,
            _ => self.routed.objective.mul_f64(TARGET_WAIT_FRACTION),
        }
    }

    /// Returns how long a request waits for a permit: as for a slot if the owner of its key is cold and
    /// the next permit is expected in that time, and not at all otherwise, since more requests are made
    /// than the targets accept.
    fn max_permit_wait(&self) -> Duration {
        let now = Instant::now();
        let owner = self.routed.key.and_then(|key| self.owner(key).ok());
        let owner = owner.filter(|owner| cold::limit(self.state, owner, now).is_some());
        let wait = self.routed.objective.mul_f64(TARGET_WAIT_FRACTION);
        let next = owner.map(|owner| owner.withheld_until(now).unwrap_or(now));
        match next.is_some_and(|next| next < self.waiting_since + wait) {
            true => wait,
            false => Duration::ZERO,
        }
    }

    /// Waits until a target may be available; returns false if the request is to be refused instead.
    async fn wait(&mut self, reason: Refusal, now: Instant) -> bool {
        if reason == Refusal::Busy
            && let Some(resource) = self.resource()
        {
            return self.wait_in_queue(resource, now).await;
        }
        self.place = None;
        let until = self.waiting_since + self.max_wait(reason);
        if now >= until {
            return false;
        }
        self.wait_for_change(until).await;
        true
    }

    async fn wait_for_change(&self, until: Instant) {
        let next_poll = Instant::now() + POLL_INTERVAL;
        let until = until.min(next_poll).min(self.routed.deadline);
        let changed = self.state.routing_changed.notified();
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(until.into()) => {}
        }
    }

    /// Handles a finished attempt; returns the caller's result if no further attempt is needed.
    /// `none_running` is true if no other attempt is in progress.
    fn handle_finished(
        &mut self,
        finished: FinishedAttempt,
        none_running: bool,
    ) -> Option<Outcome> {
        let FinishedAttempt {
            target,
            sent_at,
            was_saturated,
            outcome,
        } = finished;
        let target = &target;
        let now = Instant::now();
        if target.is_relay {
            return self.handle_relayed(target, outcome, now, none_running);
        }
        let latency = now.saturating_duration_since(sent_at);
        match outcome {
            AttemptOutcome::Complete(response) if response.head.status < MIN_SERVER_ERROR => {
                target.record_response(latency, was_saturated);
                self.record_served(target, latency, now);
                Some(Outcome::Response(response))
            }
            AttemptOutcome::Complete(response) => {
                self.waiting_since = now;
                target.record_failure(now);
                self.log_failure(target, "failed", response.head.status);
                // Kept while another attempt runs, so that its refusal is not reported for a request
                // that has run.
                self.last_response = Some(response);
                self.retry_or_give_up(none_running)
            }
            AttemptOutcome::Streaming(response, stream) => {
                target.record_response(latency, was_saturated);
                self.record_served(target, latency, now);
                Some(Outcome::Stream(response, stream))
            }
            AttemptOutcome::NotRun { status } => {
                self.handle_not_run(target, status, sent_at, now);
                None
            }
            AttemptOutcome::NotSent => {
                self.handle_not_sent(target, now);
                None
            }
            AttemptOutcome::Withheld => {
                self.take_back_send();
                None
            }
            AttemptOutcome::RateLimited => {
                self.take_back_send();
                self.wait_reason = Some(Refusal::RateLimited);
                None
            }
            AttemptOutcome::CallerLeft => {
                self.log_send_skipped();
                Some(Outcome::CallerLeft)
            }
            AttemptOutcome::NoValidResponse(reason) => {
                self.waiting_since = now;
                target.record_failure(now);
                self.failure = Some(reason);
                check_for_crash(self.state, target, self.routed.fingerprint);
                self.log_failure(target, reason, 0);
                self.retry_or_give_up(none_running)
            }
        }
    }

    /// Records that a target served the request.
    fn record_served(&self, target: &Target, latency: Duration, now: Instant) {
        let queues = &self.state.queues;
        queues.record_response(&self.resource_of(target), latency, now);
        let crashes = &self.state.crashes;
        crashes.record_response(self.routed.fingerprint, now);
        let mut views = self.state.views.borrow_mut();
        if let (Some(key), Some(view)) = (self.routed.key, views.get_mut(&self.routed.service)) {
            view.record_served(key);
        }
    }

    /// Uncounts a send after which nothing was sent.
    fn take_back_send(&mut self) {
        self.possible_runs -= 1;
        self.sends -= 1;
    }

    fn handle_not_sent(&mut self, target: &Target, now: Instant) {
        self.take_back_send();
        target.eject(now);
        self.log_failure(target, "not-sent", 0);
        self.wait_reason = self.routed.key.map(|_| Refusal::NoOwner);
        if links::can_send(self.state, target, now) {
            self.paused_until = self.routed.key.map(|_| now + OWNER_RETRY_DELAY);
        }
    }

    fn handle_not_run(&mut self, target: &Target, status: u16, sent_at: Instant, now: Instant) {
        self.possible_runs -= 1;
        self.refused_by.push(target.entry.id.clone());
        self.log_failure(target, "not-run", status);
        if status != 421 {
            target.record_refusal(sent_at, now);
            self.state.counters.add(Counter::TargetRefusals);
            if target.pause.until(now).is_some() {
                self.wait_reason = Some(Refusal::RateLimited);
                return;
            }
            self.wait_reason = Some(Refusal::Busy);
            return;
        }
        match self.routed.key {
            // The owner does not hold the key yet, or no longer holds it.
            Some(key) => {
                let mut views = self.state.views.borrow_mut();
                if let Some(view) = views.get_mut(&self.routed.service) {
                    view.record_refusal(key, &target.entry.id, sent_at, now);
                }
                self.wait_reason = Some(Refusal::NoOwner);
                self.paused_until = Some(now + OWNER_RETRY_DELAY);
            }
            // The address now belongs to another target.
            None => target.eject(now),
        }
    }

    /// Returns the result for the caller after an attempt after which the request may have run, unless
    /// the request may be sent again or another attempt is in progress.
    fn retry_or_give_up(&mut self, none_running: bool) -> Option<Outcome> {
        let retry = self.routed.kind.is_idempotent() && self.may_retry();
        (!retry && none_running).then(|| self.give_up(Refusal::Lost))
    }

    fn may_retry(&self) -> bool {
        self.possible_runs < self.routed.max_attempts && self.sends < MAX_SENDS
    }

    /// Returns the result for the caller when the request is not sent again.
    fn give_up(&mut self, reason: Refusal) -> Outcome {
        if let Some(response) = self.last_response.take() {
            return Outcome::Response(response);
        }
        match self.failure {
            Some(_) => Outcome::Refused(Refusal::Lost),
            None => Outcome::Refused(reason),
        }
    }

    fn timed_out(&mut self, running: &Running<'a>) -> Outcome {
        if running.is_empty() {
            return self.give_up(self.wait_reason.unwrap_or(Refusal::Busy));
        }
        Outcome::Refused(Refusal::Late)
    }

    fn log_send_skipped(&self) {
        self.state.log.record(Event::SendSkipped, |line| {
            line.text("id", &String::from_utf8_lossy(&self.request.id));
            line.text("service", self.routed.service.as_str());
            line.number("sends", (self.sends - 1).into());
            let age = self.routed.started.elapsed();
            line.number("age_ms", age.as_millis() as u64);
        });
    }

    fn log_failure(&self, target: &Target, reason: &str, status: u16) {
        self.state.log.record(Event::AttemptFailed, |line| {
            line.text("id", &String::from_utf8_lossy(&self.request.id));
            line.text("service", self.routed.service.as_str());
            line.text("target", target.entry.id.as_str());
            line.text("end", reason);
            line.number("status", status.into());
            line.number("sends", self.sends.into());
            if let Some(key) = self.routed.key {
                line.number("key", key.into());
            }
            let age = self.routed.started.elapsed();
            line.number("age_ms", age.as_millis() as u64);
        });
    }
}

/// Checks whether a target that closed a connection has crashed: its port then refuses connections.
fn check_for_crash(state: &Rc<State>, target: &Rc<Target>, fingerprint: u64) {
    let (state, target) = (state.clone(), target.clone());
    tokio::task::spawn_local(async move {
        let now = Instant::now();
        match state.pool.open(&target).await {
            Ok(connection) => state.pool.put(connection, None, now),
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                target.eject(now);
                let entry = &target.entry;
                let (service, id) = (&entry.service, &entry.id);
                if !reaches_others(&state, id).await {
                    return;
                }
                state.crashes.record_crash(fingerprint, service, id, now);
            }
            // The cause is unknown: the network may have failed instead.
            Err(_) => {}
        }
    });
}
