//! Carries out the decisions of [`Leader`](crate::node::keys::leader::Leader): sends orders,
//! writes the map, announces moves and renews the lease.

use std::cell::Cell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::clock::Clock;
use crate::cold_start::Source;
use crate::events::Event;
use crate::node::cold;
use crate::node::control::group::Group;
use crate::node::control::group::GroupMessage;
use crate::node::control::group::campaign::write_lease;
use crate::node::control::rows;
use crate::node::counters::Counter;
use crate::node::datagram::Message;
use crate::node::datagram::Tag;
use crate::node::datagram::target_tag;
use crate::node::evacuations::grant_scope;
use crate::node::fleet::Target;
use crate::node::identity::Identity;
use crate::node::keys::election::Lease;
use crate::node::keys::leader::Action;
use crate::node::keys::leader::Command;
use crate::node::keys::leader::Order;
use crate::node::keys::leader::OrderOutcome;
use crate::node::keys::map::Holder;
use crate::node::keys::map::KeyMap;
use crate::node::keys::map::MapVersion;
use crate::node::keys::plan::Candidate;
use crate::node::keys::plan::GrantScope;
use crate::node::keys::tenure::LeaseCheck;
use crate::node::keys::view::RangeLocation;
use crate::node::keys::view::Sequence;
use crate::node::limit::ColdLimit;
use crate::node::limit::issue_rate;
use crate::node::links;
use crate::node::notices::NoticeSource;
use crate::node::notices::record_leaving;
use crate::node::notices::record_named_limit;
use crate::node::platform::OrderAnswer;
use crate::node::platform::Platform;
use crate::node::state::State;
use crate::platform::Condition;
use crate::platform::Row;
use crate::platform::Table;
use crate::platform::Transaction;
use crate::platform::WriteId;

/// How often a leader confirms its lease in the table; well below the time for which a confirmed
/// lease is valid.
const CONFIRM_PERIOD: Duration = Duration::from_millis(3_000);
/// The same while calls fail: short, to distinguish an unavailable table from a single lost call.
const RETRY_PERIOD: Duration = Duration::from_millis(300);
/// Pause after a failed write of the map, before the map is read.
const WRITE_PAUSE: Duration = Duration::from_millis(150);
/// Weight of a new sample in the average of a target's service time; each sample is itself an
/// average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Assumed service time of a request until a node reports one, in milliseconds.
const DEFAULT_SERVICE_TIME_MS: f64 = 200.0;
/// Bounds of a target's speed relative to the mean, when its capacity is computed.
const MIN_RELATIVE_SPEED: f64 = 0.5;
const MAX_RELATIVE_SPEED: f64 = 1.6;

impl<T: Table + 'static, P: Platform> Group<T, P> {
    pub(super) fn lead(&mut self, now: Instant) {
        if self.should_step_down() {
            return self.step_down("the table refuses only this node", now);
        }
        if self.is_out_of_reach() {
            self.request_resignation("this node reaches no target", now);
        }
        if let Some(reason) = self.due_resignation(now) {
            return self.resign(reason, now);
        }
        self.check_previous_leaders(now);
        let candidates = self.candidates();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let tenure = &mut leading.tenure;
        let is_outdated = tenure.is_outdated(self.table.generation());
        let mut actions = tenure.leader.tick(now, &candidates, &self.key_load);
        let is_doubted = tenure.leader.is_doubted();
        let is_failing = self.state.table_health.borrow().is_failing();
        let period = match is_outdated || is_doubted || is_failing {
            true => RETRY_PERIOD,
            false => CONFIRM_PERIOD,
        };
        let due = now.saturating_duration_since(leading.last_check) >= period;
        if due {
            actions.push(Action::CheckLease);
        }
        self.execute(actions);
    }

    fn should_step_down(&self) -> bool {
        let others_read = self.peers.last_table_read();
        let mut table_health = self.state.table_health.borrow_mut();
        self.leading.is_some() && table_health.should_step_down(others_read)
    }

    /// Returns true if this node reaches no target and another one does.
    pub(super) fn is_out_of_reach(&self) -> bool {
        self.state.reach.is_stranded() && self.peers.any_reaches_targets(Instant::now())
    }

    pub(super) fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Write(map) => self.write_map(&map),
                Action::Send(order) => self.send_order(order),
                Action::Announce(sequence, locations) => self.announce(sequence, locations),
                Action::CheckLease => self.check_lease(),
            }
        }
    }

    pub(super) fn announce(&mut self, sequence: Sequence, locations: Vec<RangeLocation>) {
        self.state.counters.add(Counter::MovesAnnounced);
        for location in &locations {
            self.state.log.record(Event::KeysMoved, |line| {
                line.text("service", self.service.as_str());
                line.number("first", location.range.first.into());
                line.number("last", location.range.last.into());
                line.text(
                    "owner",
                    location.owner.as_ref().map_or("", |id| id.as_str()),
                );
                line.text("held", if location.pending { "no" } else { "yes" });
                line.number("term", sequence.term);
                line.number("sequence", sequence.number);
            });
        }
        let mut views = self.state.views.borrow_mut();
        let view = views.entry(self.service.clone()).or_default();
        if !view.is_known() || view.sequence().term != sequence.term {
            let map = self
                .leading
                .as_ref()
                .map(|leading| leading.tenure.leader.map());
            let map: KeyMap = map.unwrap_or_default();
            let before = Sequence {
                number: sequence.number - 1,
                ..sequence
            };
            view.load(&map, before);
        }
        view.apply(sequence, &locations);
        drop(views);
        self.state.routing_changed.notify_waiters();
        let tag = Tag::of(self.service.as_str());
        self.peers
            .broadcast(Message::Moved(tag, sequence, locations));
    }

    pub(super) fn send_order(&self, order: Order) {
        self.state.counters.add(Counter::Orders);
        let (platform, handle) = (self.platform.clone(), self.handle.clone());
        let (state, service) = (self.state.clone(), self.service.clone());
        tokio::task::spawn_local(async move {
            let (begun, boot_begun) = (Instant::now(), state.boot_clock.now());
            let target = target_of(&state, &order.to);
            if let Some(target) = &target {
                links::record_sent(&state, target, begun);
            }
            let path = state.identity_path(&service);
            let cold_left = Cell::new(None);
            let identity = Identity {
                id: &order.to.id,
                path: path.as_deref(),
                field: state.conf.headers.target,
                cold_field: state.conf.headers.cold_ms,
                cold_left: &cold_left,
                proven_at: target.as_ref().and_then(|target| target.proven_at()),
                reuse_after: state.conf.reuse_after,
                clock: state.boot_clock,
            };
            let answer = platform.order(&order, identity).await;
            record_reach(&state, &order.to, &answer.outcome, begun);
            record_proof(&state, &order.to, &answer.outcome, boot_begun);
            record_notices(&state, &order.to, &answer);
            if let (Some(target), Some(left)) = (&target, cold_left.get()) {
                cold::record(&state, target, left, Source::Health, Instant::now());
            }
            let outcome = answer.outcome;
            if !matches!(outcome, OrderOutcome::Done(_) | OrderOutcome::Reconnected) {
                state.counters.add(Counter::OrderFailures);
                state.log.record(Event::OrderFailed, |line| {
                    line.text("service", service.as_str());
                    line.text("target", order.to.id.as_str());
                    line.number("first", order.range.first.into());
                    line.number("last", order.range.last.into());
                    line.number("fence", order.fence.0);
                    let command = match order.command {
                        Command::Grant { .. } => "grant",
                        Command::Release => "release",
                    };
                    line.text("order", command);
                    line.text("end", outcome_name(&outcome));
                });
            }
            handle.send(GroupMessage::OrderEnded(order.id, outcome));
        });
    }

    pub(super) fn write_map(&self, map: &KeyMap) {
        let Some(leading) = &self.leading else {
            return;
        };
        let (revision, tenure) = (leading.map_revision.clone(), &leading.tenure);
        let generation = tenure.lease().generation();
        let conditions = vec![
            Condition {
                key: self.lease_key(),
                revision: tenure.revision(),
            },
            Condition {
                key: self.map_key(),
                revision: revision.get(),
            },
        ];
        let tx = Transaction {
            id: WriteId(rand::random()),
            conditions,
            mutations: vec![rows::put(self.map_key(), map)],
        };
        let (table, key, handle) = (self.table.clone(), self.map_key(), self.handle.clone());
        let (state, service, version) = (self.state.clone(), self.service.clone(), map.version);
        tokio::task::spawn_local(async move {
            state.counters.add(Counter::TableCalls);
            let error = table.commit(&tx).await.err();
            if let Some(error) = &error {
                state.counters.add(Counter::TableFailures);
                state.log.record(Event::TableWriteFailed, |line| {
                    line.text("row", &key);
                    line.show("error", error);
                });
                tokio::time::sleep(WRITE_PAUSE).await;
            }
            state.counters.add(Counter::TableCalls);
            let written = match table.get(&key).await {
                Ok(row) => {
                    revision.set(row.as_ref().map_or(0, |row| row.revision));
                    let is_written = row.is_some_and(|row| row.writer == tx.id);
                    Ok(is_written && table.generation() <= generation)
                }
                Err(_) => Err(()),
            };
            if written == Ok(true) {
                state.log.record(Event::ShardsPlaced, |line| {
                    line.text("service", service.as_str());
                    line.number("term", version.term);
                    line.number("number", version.number);
                    line.number("revision", revision.get());
                });
            }
            handle.send(GroupMessage::MapWritten(version, written));
        });
    }

    pub(super) fn map_written(&mut self, version: MapVersion, written: Result<bool, ()>) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading
            .tenure
            .leader
            .map_write_ended(version, written == Ok(true));
        match written {
            Ok(_) => self.state.table_health.borrow_mut().record_success(),
            Err(()) => self
                .state
                .table_health
                .borrow_mut()
                .record_failure(Instant::now()),
        }
        if written == Ok(false) {
            self.check_lease();
        }
    }

    pub(super) fn check_lease(&mut self) {
        let key = self.lease_key();
        let Some(leading) = &mut self.leading else {
            return;
        };
        if std::mem::replace(&mut leading.check_pending, true) {
            return;
        }
        leading.last_check = self.clock.now();
        leading.checked_nodes = self.peers.processes();
        let (table, handle) = (self.table.clone(), self.handle.clone());
        let (state, started_at) = (self.state.clone(), leading.last_check);
        tokio::task::spawn_local(async move {
            state.counters.add(Counter::TableCalls);
            let row = table.get(&key).await;
            handle.send(GroupMessage::LeaseRead(row.map_err(|_| ()), started_at));
        });
    }

    pub(super) fn lease_read(
        &mut self,
        row: Result<Option<Row>, ()>,
        started_at: Instant,
        now: Instant,
    ) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if started_at < leading.last_check {
            // A former leader of this process began the read.
            return;
        }
        leading.check_pending = false;
        let Ok(row) = row else {
            return self
                .state
                .table_health
                .borrow_mut()
                .record_failure(Instant::now());
        };
        self.state.table_health.borrow_mut().record_success();
        let lease = row
            .as_ref()
            .and_then(|row| rows::decode::<Lease>(&row.value));
        let revision = row.as_ref().map_or(0, |row| row.revision);
        let generation = self.table.generation();
        match leading
            .tenure
            .check((revision, lease.as_ref()), generation, now)
        {
            LeaseCheck::Held => {
                let nodes = std::mem::take(&mut leading.checked_nodes);
                leading.tenure.confirm(started_at, nodes);
            }
            LeaseCheck::Restored => {
                leading.check_pending = true;
                let nodes = self.peers.processes();
                leading.tenure.suspend(generation, nodes, now);
                self.rewrite_lease(&lease.unwrap_or_else(Lease::lost), revision, now);
            }
            LeaseCheck::Lost => {
                if let Some(lease) = &lease {
                    self.election.record_lease(lease, now);
                }
                let reason = format!(
                    "the lease row has term {} and revision {revision}, not revision {}",
                    lease.map_or(0, |lease| lease.term),
                    leading.tenure.revision()
                );
                self.step_down(&reason, now);
            }
        }
    }

    /// Writes the lease again, in place of the older one that a restored table contains.
    fn rewrite_lease(&self, held: &Lease, revision: u64, now: Instant) {
        let lease = self.next_lease(Some(held));
        self.state.log.record(Event::TableRestored, |line| {
            line.text("service", self.service.as_str());
            line.number("generation", self.table.generation().0);
            line.number("term", held.term);
        });
        let (state, table, handle) = (self.state.clone(), self.table.clone(), self.handle.clone());
        let key = self.lease_key();
        tokio::task::spawn_local(async move {
            let written = write_lease(&state, &*table, key, &lease, revision).await;
            handle.send(GroupMessage::LeaseRewritten(lease, written, now));
        });
    }

    pub(super) fn lease_rewritten(
        &mut self,
        lease: Lease,
        revision: Option<u64>,
        started_at: Instant,
        now: Instant,
    ) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        if started_at < leading.last_check {
            // A former leader of this process began the write.
            return;
        }
        leading.check_pending = false;
        if !leading.tenure.leader.is_lease_valid(now) {
            return self.step_down("the lease expired after the table was restored", now);
        }
        // If the write did not take effect, the row is read again soon.
        if let Some(revision) = revision {
            leading
                .tenure
                .record_lease(lease, revision, started_at, now);
        }
    }

    pub(super) fn add_service_time(&mut self, target: Tag, ms: u16) {
        let sample = f64::from(ms.max(1));
        let average = self.service_times.entry(target).or_insert(sample);
        *average += (sample - *average) * SAMPLE_WEIGHT;
    }

    pub(super) fn candidates(&self) -> Vec<Candidate> {
        let fleet = self.state.fleet.borrow();
        let targets = fleet.of(&self.service);
        let service_time = |target: &Rc<Target>| {
            self.service_times
                .get(&target_tag(&target.entry.id))
                .copied()
        };
        let now = Instant::now();
        let known: Vec<f64> = targets.iter().filter_map(service_time).collect();
        let mean = match known.len() {
            0 => DEFAULT_SERVICE_TIME_MS,
            count => known.iter().sum::<f64>() / count as f64,
        };
        targets
            .iter()
            .map(|target| {
                let ms = service_time(target).unwrap_or(mean);
                let ms = ms.clamp(mean / MAX_RELATIVE_SPEED, mean / MIN_RELATIVE_SPEED);
                let grants = grant_scope(&self.state, target, now);
                candidate(target, ms, grants, cold::limit(&self.state, target, now))
            })
            .collect()
    }
}

/// Returns the process to which an order is sent, if it is listed.
fn target_of(state: &State, holder: &Holder) -> Option<Rc<Target>> {
    let fleet = state.fleet.borrow();
    let target = fleet.get(&holder.id);
    let target = target.filter(|t| t.entry.incarnation == holder.incarnation);
    target.cloned()
}

/// Records what the outcome of an order that was sent at `begun` shows of the link to the target.
fn record_reach(state: &State, holder: &Holder, outcome: &OrderOutcome, begun: Instant) {
    let Some(target) = target_of(state, holder) else {
        return;
    };
    let now = Instant::now();
    match outcome {
        OrderOutcome::Done(_) | OrderOutcome::StaleFence => {
            links::record_response(state, &target, now);
        }
        OrderOutcome::NotSent => {
            let error = ErrorKind::TimedOut.into();
            links::record_failure(state, &target, &error, begun, now);
        }
        OrderOutcome::Reconnected
        | OrderOutcome::OtherTarget
        | OrderOutcome::Unidentified
        | OrderOutcome::Unknown => {}
    }
}

/// Records that the process which an order was meant for executed or refused it.
fn record_proof(state: &State, holder: &Holder, outcome: &OrderOutcome, begun: Instant) {
    if let OrderOutcome::Done(_) | OrderOutcome::StaleFence = outcome
        && let Some(target) = target_of(state, holder)
    {
        target.record_proof(begun);
    }
}

/// Records what a target announced in its reply to an order. A reply that names no limit says
/// nothing: limits are named in responses to requests.
fn record_notices(state: &State, holder: &Holder, answer: &OrderAnswer) {
    let Some(target) = target_of(state, holder) else {
        return;
    };
    if answer.target_leaving {
        record_leaving(state, &target, NoticeSource::OrderReply);
    }
    if let Some(rate) = answer.limit.clone() {
        record_named_limit(state, &target, rate, NoticeSource::OrderReply);
    }
}

/// Returns the name of an outcome in log lines.
fn outcome_name(outcome: &OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::Done(_) => "Done",
        OrderOutcome::StaleFence => "Outdated",
        OrderOutcome::NotSent => "NotSent",
        OrderOutcome::Reconnected => "Reconnected",
        OrderOutcome::OtherTarget => "OtherTarget",
        OrderOutcome::Unidentified => "Unidentified",
        OrderOutcome::Unknown => "Unknown",
    }
}

/// Returns a target as a candidate to own keys; `ms` is its service time, and `cold` its limit if it is
/// cold. One whose data centre is evacuated has to give up its keys.
fn candidate(target: &Target, ms: f64, grants: GrantScope, cold: Option<ColdLimit>) -> Candidate {
    let capacity = f64::from(target.entry.slots.max(1)) * 1e3 / ms;
    let capacity = match target.limit.rate() {
        Some(limit) => capacity.min(issue_rate(limit)),
        None => capacity,
    };
    let capacity = cold.map_or(capacity, |cold| capacity.min(cold.rate.per_second()));
    Candidate {
        holder: Holder {
            id: target.entry.id.clone(),
            incarnation: target.entry.incarnation,
        },
        address: target.entry.address,
        capacity,
        leaving: target.leaving.get() || grants != GrantScope::All,
        grants,
        on_probation: false,
        cold: cold.is_some(),
        proven: target.proven_at().is_some(),
    }
}
