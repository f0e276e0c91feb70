//! The list of targets, with the load, latency and failures that this node observes for each.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::cold_start::ColdTime;
use crate::cold_start::MAX_COLD_TIME;
use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::VmId;
use crate::node::datagram::ListDigest;
use crate::node::datagram::Tag;
use crate::node::datagram::target_tag;
use crate::node::limit::ProcessTag;
use crate::node::limit::TargetLimit;
use crate::node::pause::PauseState;
use crate::node::reach::Link;
use crate::overload::window::SendWindow;
use crate::target_load::ObservedLoad;

/// How long after the last failed read of the list a target that disappeared from it stays in use.
/// Live targets are listed again within about two seconds, and 3 s after an outage targets that are
/// gone must get no requests.
const LAPSED_TARGET_GRACE: Duration = Duration::from_millis(1_900);
/// How long after a failed read of the list a removal is attributed to the outage.
const OUTAGE_WINDOW: Duration = Duration::from_millis(3_000);
/// How long after a restore an entry that contradicts what was read before may be outdated: a target
/// that is gone is removed after three missed updates of its entry, which are less than 1 s apart.
const OUTDATED_ENTRY_TIME: Duration = Duration::from_millis(4_000);
/// How long processes that left the list are remembered, which is longer than data is old from which
/// the list is restored.
const DEPARTED_MEMORY: Duration = Duration::from_secs(60);
/// Weight of the newest sample in exponentially weighted moving averages.
const EWMA_WEIGHT: f64 = 0.15;
/// Consecutive failures after which a target is ejected for a while.
const EJECTION_THRESHOLD: u32 = 2;
/// Duration of the first ejection; doubles with each further failure.
const BASE_EJECTION: Duration = Duration::from_millis(400);
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Weight of a refusal in the failure rate: it costs a retry, but the target ran nothing.
const REFUSAL_FAILURE: f64 = 0.5;

/// A target's entry in the list, as the target registered it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Unique name of the target.
    #[serde(rename = "i")]
    pub id: TargetId,
    /// Start time of the target's process; differs from that of earlier processes with the same id.
    #[serde(rename = "l")]
    pub incarnation: u64,
    /// The service that the target belongs to.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Address on which the target accepts connections.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Data centre in which the target runs.
    #[serde(rename = "d")]
    pub data_centre: DataCentre,
    /// Number of requests that the target processes concurrently.
    #[serde(rename = "n")]
    pub slots: u32,
    /// Whether the target is shutting down and must get no new requests.
    #[serde(rename = "g")]
    pub draining: bool,
    /// Remaining time in which the target is slower because it has just started.
    #[serde(rename = "w")]
    pub warm_up: Duration,
}

/// A listed target and its observed state.
#[derive(Debug)]
pub struct Target {
    /// The entry with which the target was first listed.
    pub entry: TargetEntry,
    /// Whether the target gets no new requests.
    pub leaving: Cell<bool>,
    /// Whether the target's own responses announced it before the list showed it.
    pub announced_leaving: Cell<bool>,
    /// Whether this is another node, which passes requests on to targets.
    pub is_relay: bool,
    /// The limit that the target names in its responses.
    pub limit: TargetLimit,
    /// What this node knows of its link to the process.
    pub link: Link,
    /// When the last exchange began in which the process responded under its id, on the boot clock.
    proven_at: Cell<Option<Instant>>,
    /// Requests in flight from this node.
    pub in_flight: Cell<u32>,
    /// Requests in flight from other nodes, by their latest reports.
    pub peer_in_flight: Cell<u32>,
    /// Open connections from this node.
    pub connections: Cell<u32>,
    /// Moving average of the response time, in seconds; 0 if unknown.
    latency: Cell<f64>,
    /// Moving average of the response time of requests that probably found a free slot, in seconds;
    /// 0 if unknown.
    service_time: Cell<f64>,
    /// Whether the current `service_time` has been reported.
    service_time_sent: Cell<bool>,
    consecutive_failures: Cell<u32>,
    /// Moving average of the fraction of requests that failed, 0 to 1.
    failure_rate: Cell<f64>,
    ejected_until: Cell<Option<Instant>>,
    /// How many requests it gets after it has refused some.
    window: Cell<SendWindow>,
    /// Until when no permit for the target is expected.
    withheld_until: Cell<Option<Instant>>,
    /// The load that the target states in its responses.
    pub stated: ObservedLoad,
    /// The pause that the target asked for.
    pub pause: PauseState,
    /// Until when it is slower because it has just started.
    cold: ColdTime,
}

impl Target {
    fn new(entry: TargetEntry, now: Instant) -> Self {
        Self {
            leaving: Cell::new(entry.draining),
            announced_leaving: Cell::new(false),
            is_relay: false,
            limit: TargetLimit::default(),
            link: Link::default(),
            proven_at: Cell::new(None),
            in_flight: Cell::new(0),
            peer_in_flight: Cell::new(0),
            connections: Cell::new(0),
            latency: Cell::new(0.0),
            service_time: Cell::new(0.0),
            service_time_sent: Cell::new(true),
            consecutive_failures: Cell::new(0),
            failure_rate: Cell::new(0.0),
            ejected_until: Cell::new(None),
            window: Cell::default(),
            withheld_until: Cell::new(None),
            stated: ObservedLoad::default(),
            pause: PauseState::default(),
            cold: ColdTime::default(),
            entry,
        }
        .cold_by_entry(now)
    }

    fn cold_by_entry(self, now: Instant) -> Self {
        self.record_entry(&self.entry, now);
        self
    }

    /// Records how much longer the target is cold by its entry; returns true if it is to be reported to other nodes.
    fn record_entry(&self, entry: &TargetEntry, now: Instant) -> bool {
        let left = entry.warm_up.min(MAX_COLD_TIME);
        !left.is_zero() && self.record_cold(now + left)
    }

    /// Creates the stand-in for another node, which passes requests on to targets.
    pub fn relay(node: &VmId, address: SocketAddr, data_centre: DataCentre, now: Instant) -> Self {
        let entry = TargetEntry {
            id: TargetId::from(node.as_str()),
            incarnation: 0,
            service: ServiceId::from(""),
            address,
            data_centre,
            slots: u32::MAX,
            draining: false,
            warm_up: Duration::ZERO,
        };
        Self {
            is_relay: true,
            ..Self::new(entry, now)
        }
    }

    /// Returns the known number of requests in flight from all nodes.
    pub fn load(&self) -> u32 {
        self.in_flight.get() + self.peer_in_flight.get()
    }

    /// Returns the number of requests at the target, by its own recent statement; `None` if it made none.
    pub fn stated_load(&self, now: Instant) -> Option<u32> {
        let stated = self.stated.requests(now)?;
        Some(stated.max(self.in_flight.get()))
    }

    /// Returns the moving average of the response time in seconds, or `None` without a sample.
    pub fn latency(&self) -> Option<f64> {
        let latency = self.latency.get();
        (latency > 0.0).then_some(latency)
    }

    /// Returns the moving average of the response time without queueing, in seconds, or `None`
    /// without a sample.
    pub fn service_time(&self) -> Option<f64> {
        let service_time = self.service_time.get();
        (service_time > 0.0).then_some(service_time)
    }

    /// Returns the service time in seconds if it has changed since the last call.
    pub fn take_changed_service_time(&self) -> Option<f64> {
        let sent = self.service_time_sent.replace(true);
        self.service_time().filter(|_| !sent)
    }

    /// Returns the moving average of the fraction of failed requests, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate.get()
    }

    /// Returns true while the target gets no requests because of recent failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.get().is_some_and(|until| now < until)
    }

    /// Returns the name of the target's process in datagrams.
    pub fn process_tag(&self) -> ProcessTag {
        ProcessTag {
            target: target_tag(&self.entry.id),
            incarnation: self.entry.incarnation,
        }
    }

    /// Returns until when the target gets no requests because of its limit, because it is cold, or because
    /// of a pause that it asked for, if it does not get any now.
    pub fn withheld_until(&self, now: Instant) -> Option<Instant> {
        let until = self.withheld_until.get().filter(|until| now < *until);
        let until = until.filter(|_| self.limit.rate().is_some() || self.is_warming_up(now));
        until.max(self.pause.until(now))
    }

    /// Returns true while the target gets no requests because of its limit or of a pause.
    pub fn is_withheld(&self, now: Instant) -> bool {
        self.withheld_until(now).is_some()
    }

    /// Ends the time in which the target is withheld because of its limit.
    pub fn end_withholding(&self) {
        self.withheld_until.set(None);
    }

    /// Withholds the target from requests until a permit is expected.
    pub fn withhold(&self, until: Instant) {
        self.withheld_until.set(Some(until));
    }

    /// Returns true while the target is slower because it has just started.
    pub fn is_warming_up(&self, now: Instant) -> bool {
        self.cold.left(now).is_some()
    }

    /// Returns how much longer the target is slower because it has just started.
    pub fn cold_left(&self, now: Instant) -> Option<Duration> {
        self.cold.left(now)
    }

    /// Records that the target is slower until `until`, unless it is known to be for longer; returns
    /// true if it is to be reported to other nodes.
    pub fn record_cold(&self, until: Instant) -> bool {
        self.cold.record(until)
    }

    /// Returns when the last exchange began in which the process responded under its id.
    pub fn proven_at(&self) -> Option<Instant> {
        self.proven_at.get()
    }

    /// Records that the process responded under its id in an exchange that began at `begun`, on the
    /// boot clock.
    pub fn record_proof(&self, begun: Instant) {
        self.proven_at.set(self.proven_at.get().max(Some(begun)));
    }

    /// Records that the target's process announced in a response that it is shutting down; returns
    /// true if that was not known.
    pub fn record_leaving(&self) -> bool {
        let is_new = !self.leaving.replace(true);
        self.announced_leaving
            .set(self.announced_leaving.get() || is_new);
        is_new
    }

    /// Records a response and its latency. `queued` is true if all slots were busy, so that the
    /// latency includes waiting time.
    pub fn record_response(&self, latency: Duration, queued: bool) {
        update_average(&self.latency, latency);
        if !queued {
            update_average(&self.service_time, latency);
            self.service_time_sent.set(false);
        }
        self.consecutive_failures.set(0);
        self.add_failure_sample(0.0);
        self.ejected_until.set(None);
        let mut window = self.window.get();
        window.record_response(self.entry.slots);
        self.window.set(window);
    }

    /// Records that the target refused a request, sent at `sent_at`, because all its slots were busy.
    pub fn record_refusal(&self, sent_at: Instant, now: Instant) {
        self.add_failure_sample(REFUSAL_FAILURE);
        let mut window = self.window.get();
        window.record_refusal(self.load(), sent_at, now);
        self.window.set(window);
    }

    /// Returns true if the target takes one more request, as far as its refusals show.
    pub fn takes_more(&self, now: Instant) -> bool {
        let window = self.window.get();
        window.allows(self.in_flight.get(), self.load(), now)
    }

    /// Records a failed request; returns true if it ejects the target.
    pub fn record_failure(&self, now: Instant) -> bool {
        let failures = self.consecutive_failures.get() + 1;
        self.consecutive_failures.set(failures);
        self.add_failure_sample(1.0);
        if failures < EJECTION_THRESHOLD {
            return false;
        }
        let doublings = (failures - EJECTION_THRESHOLD).min(MAX_EJECTION_DOUBLINGS);
        self.eject_until(now + BASE_EJECTION * 2u32.pow(doublings));
        true
    }

    /// Ejects the target immediately, because its address refuses connections or belongs to another
    /// process.
    pub fn eject(&self, now: Instant) {
        let failures = self.consecutive_failures.get().max(EJECTION_THRESHOLD - 1) + 1;
        self.consecutive_failures.set(failures);
        let doublings = (failures - EJECTION_THRESHOLD).min(MAX_EJECTION_DOUBLINGS);
        self.eject_until(now + BASE_EJECTION * 2u32.pow(doublings));
    }

    fn add_failure_sample(&self, sample: f64) {
        let old = self.failure_rate.get();
        self.failure_rate.set(old + (sample - old) * EWMA_WEIGHT);
    }

    fn eject_until(&self, until: Instant) {
        let current = self.ejected_until.get();
        self.ejected_until
            .set(current.map_or(Some(until), |current| Some(current.max(until))));
    }
}

/// Adds a sample to a moving average in seconds; 0 means that there is no sample yet.
fn update_average(average: &Cell<f64>, sample: Duration) {
    let (old, sample) = (average.get(), sample.as_secs_f64());
    average.set(match old {
        0.0 => sample,
        _ => old + (sample - old) * EWMA_WEIGHT,
    });
}

/// A change of one entry in the list of targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TargetUpdate {
    /// The target was added or its entry changed.
    #[serde(rename = "p")]
    Present(TargetEntry),
    /// The target was removed, or its entry cannot be decoded.
    #[serde(rename = "a")]
    Absent(TargetId),
}

/// The effect of a list change on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FleetChange {
    /// The target was added, or its process restarted.
    Joined,
    /// The target is shutting down and gets no new requests.
    Leaving,
    /// The target was removed.
    Gone,
    /// The target disappeared during an outage of the list and stays in use for a while.
    Lapsed,
    /// The target's process is cold, or for longer than was known.
    Cold,
}

/// An entry of the list, as far as its digest depends on it.
#[derive(Clone, Copy, Debug)]
struct Listed {
    hash: u32,
    draining: bool,
}

/// A process that left the list.
#[derive(Clone, Debug)]
struct Departed {
    /// Its last entry.
    entry: TargetEntry,
    /// Whether it had announced that it was leaving.
    was_leaving: bool,
    /// When it left the list.
    at: Instant,
}

/// All targets, grouped by service.
#[derive(Debug, Default)]
pub struct Fleet {
    services: BTreeMap<ServiceId, Vec<Rc<Target>>>,
    by_id: BTreeMap<TargetId, Rc<Target>>,
    by_tag: HashMap<Tag, Rc<Target>>,
    /// Targets that disappeared during an outage and are still in use.
    lapsed: BTreeSet<TargetId>,
    last_list_failure: Option<Instant>,
    /// What the list contains, from which the digest is computed.
    listed: BTreeMap<TargetId, Listed>,
    /// Processes that left the list.
    departed: BTreeMap<TargetId, Departed>,
    /// Entries of restored data that contradict what was read before and have not changed since.
    withheld: BTreeMap<TargetId, TargetEntry>,
    /// When the list was first read after its data was restored from an older copy.
    restored: Option<Instant>,
    loaded: bool,
    digest: ListDigest,
}

impl Fleet {
    /// Returns true once the list has been read.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the targets of a service, in the order in which they were added.
    pub fn of(&self, service: &ServiceId) -> &[Rc<Target>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the target with this id, if it is listed.
    pub fn get(&self, id: &TargetId) -> Option<&Rc<Target>> {
        self.by_id.get(id)
    }

    /// Returns the target whose id has this tag, if it is listed.
    pub fn by_tag(&self, tag: Tag) -> Option<&Rc<Target>> {
        self.by_tag.get(&tag)
    }

    /// Returns the digest of the list; it is equal on all nodes with the same list.
    pub fn digest(&self) -> ListDigest {
        self.digest
    }

    /// Iterates over all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.services.values().flatten()
    }

    /// Records that reading the list failed.
    pub fn record_list_failure(&mut self, now: Instant) {
        self.last_list_failure = Some(now);
    }

    /// Records that the list will next be read from data restored from an older copy: live targets may
    /// be missing for a while, and entries may be outdated.
    pub fn record_restore(&mut self, now: Instant) {
        self.last_list_failure = Some(now);
        self.restored = Some(now);
    }

    /// Applies a complete list; targets missing from it are removed.
    pub fn replace(
        &mut self,
        entries: Vec<TargetEntry>,
        now: Instant,
    ) -> Vec<(TargetId, FleetChange)> {
        self.loaded = true;
        let listed: BTreeSet<_> = entries.iter().map(|e| e.id.clone()).collect();
        let absent = self.by_id.keys().filter(|id| !listed.contains(*id));
        let absent: Vec<_> = absent.cloned().map(TargetUpdate::Absent).collect();
        self.listed.retain(|id, _| listed.contains(id));
        self.withheld.clear();
        let (outdated, current): (Vec<_>, Vec<_>) = entries
            .into_iter()
            .partition(|entry| self.may_be_outdated(entry, now));
        let present = current.into_iter().map(TargetUpdate::Present);
        let changes = self.update(present.chain(absent).collect(), now);
        for entry in outdated {
            self.listed.insert(entry.id.clone(), Listed::new(&entry));
            self.withheld.insert(entry.id.clone(), entry);
        }
        self.digest = self.compute_digest();
        changes
    }

    /// Applies changes of the list.
    pub fn update(
        &mut self,
        updates: Vec<TargetUpdate>,
        now: Instant,
    ) -> Vec<(TargetId, FleetChange)> {
        let mut changes = Vec::new();
        for update in updates {
            let change = match update {
                TargetUpdate::Present(entry) => {
                    self.listed.insert(entry.id.clone(), Listed::new(&entry));
                    self.withheld.remove(&entry.id);
                    self.upsert(entry, now)
                }
                TargetUpdate::Absent(id) => {
                    self.listed.remove(&id);
                    self.withheld.remove(&id);
                    self.delist(id, now)
                }
            };
            changes.extend(change);
        }
        self.digest = self.compute_digest();
        changes
    }

    /// Removes the targets that were not listed again in time after an outage, and applies the entries
    /// of restored data that are still listed.
    pub fn expire(&mut self, now: Instant) -> Vec<(TargetId, FleetChange)> {
        let mut changes = Vec::new();
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= LAPSED_TARGET_GRACE;
        if !self.last_list_failure.is_some_and(is_recent) {
            for id in std::mem::take(&mut self.lapsed) {
                self.depart(&id, now);
                changes.push((id, FleetChange::Gone));
            }
        }
        if !self.is_restored_recently(now) {
            for (_, entry) in std::mem::take(&mut self.withheld) {
                changes.extend(self.upsert(entry, now));
            }
        }
        self.departed
            .retain(|_, departed| now.saturating_duration_since(departed.at) <= DEPARTED_MEMORY);
        changes
    }

    /// Combines the hashes with XOR, so that the order of the targets does not matter. The digest
    /// depends on nothing but the list, so that nodes that read the same list agree.
    fn compute_digest(&self) -> ListDigest {
        let mut digest = ListDigest::default();
        for listed in self.listed.values() {
            digest.all ^= listed.hash;
            if listed.draining {
                digest.leaving ^= listed.hash;
            } else {
                digest.staying += 1;
            }
        }
        digest
    }

    fn is_restored_recently(&self, now: Instant) -> bool {
        self.restored
            .is_some_and(|at| now.saturating_duration_since(at) <= OUTDATED_ENTRY_TIME)
    }

    /// Returns true if an entry of a complete list may be older than what was read before: soon after
    /// a restore, if it names a process that left the list or that a later one replaced.
    fn may_be_outdated(&self, entry: &TargetEntry, now: Instant) -> bool {
        let Some(restored) = self.restored.filter(|_| self.is_restored_recently(now)) else {
            return false;
        };
        let existing = self.get(&entry.id);
        let is_replaced =
            existing.is_some_and(|target| target.entry.incarnation > entry.incarnation);
        let departed = self.departed.get(&entry.id);
        let departed = departed.filter(|departed| departed.at < restored);
        is_replaced
            || departed.is_some_and(|departed| departed.entry.incarnation >= entry.incarnation)
    }

    /// Adds a target, replaces it if its entry describes another process, or updates whether it is
    /// leaving or cold. A process that is leaving does not return.
    fn upsert(&mut self, mut entry: TargetEntry, now: Instant) -> Option<(TargetId, FleetChange)> {
        let id = entry.id.clone();
        self.lapsed.remove(&id);
        if let Some(existing) = self.get(&id) {
            if is_same_process(&existing.entry, &entry) {
                let is_cold = existing.record_entry(&entry, now);
                if entry.draining && !existing.leaving.replace(true) {
                    return Some((id, FleetChange::Leaving));
                }
                return is_cold.then_some((id, FleetChange::Cold));
            }
            self.remove(&id);
        }
        if let Some(departed) = self.departed.remove(&id) {
            entry.draining |= departed.was_leaving && is_same_process(&departed.entry, &entry);
        }
        let service = entry.service.clone();
        let target = Rc::new(Target::new(entry, now));
        self.by_id.insert(id.clone(), target.clone());
        self.by_tag.insert(target_tag(&id), target.clone());
        self.services.entry(service).or_default().push(target);
        Some((id, FleetChange::Joined))
    }

    /// Removes a target, or marks it as lapsed if the removal may be due to an outage.
    fn delist(&mut self, id: TargetId, now: Instant) -> Option<(TargetId, FleetChange)> {
        let existing = self.get(&id)?;
        let in_outage = self
            .last_list_failure
            .is_some_and(|at| now.saturating_duration_since(at) <= OUTAGE_WINDOW);
        if in_outage && !existing.leaving.get() {
            let is_new = self.lapsed.insert(id.clone());
            return is_new.then_some((id, FleetChange::Lapsed));
        }
        self.depart(&id, now);
        Some((id, FleetChange::Gone))
    }

    /// Removes a target, and remembers it as having left the list.
    fn depart(&mut self, id: &TargetId, now: Instant) {
        if let Some(target) = self.get(id) {
            let departed = Departed {
                entry: target.entry.clone(),
                was_leaving: target.leaving.get(),
                at: now,
            };
            self.departed.insert(id.clone(), departed);
        }
        self.remove(id);
    }

    fn remove(&mut self, id: &TargetId) {
        self.lapsed.remove(id);
        let Some(target) = self.by_id.remove(id) else {
            return;
        };
        target.leaving.set(true);
        self.by_tag.remove(&target_tag(id));
        if let Some(list) = self.services.get_mut(&target.entry.service) {
            list.retain(|listed| !Rc::ptr_eq(listed, &target));
        }
    }
}

impl Listed {
    fn new(entry: &TargetEntry) -> Self {
        let text = format!("{}/{}/{}", entry.id, entry.incarnation, entry.address);
        Self {
            hash: xxh3_64(text.as_bytes()) as u32,
            draining: entry.draining,
        }
    }
}

fn is_same_process(old: &TargetEntry, entry: &TargetEntry) -> bool {
    old.incarnation == entry.incarnation
        && old.address == entry.address
        && old.service == entry.service
        && old.slots == entry.slots
}
