//! The targets that a node knows, and what it has seen of each.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::node::datagram::ListDigest;

/// How long after the last failure to read the list a target that vanished meanwhile stays in use:
/// live targets are listed again within about two seconds, and 3 s after an outage those that are
/// gone must get no work.
const LAPSE_GRACE: Duration = Duration::from_millis(1_900);
/// How long after an outage a removal counts as caused by it.
const OUTAGE_SHADOW: Duration = Duration::from_millis(3_000);
/// Weight of the newest sample in moving averages.
const EWMA_WEIGHT: f64 = 0.15;
/// Failures in a row after which a target gets no requests for a while.
const FAILURES_TO_SHUT: u32 = 2;
/// The first pause of a target that failed; doubles with each further failure.
const SHUT_PAUSE: Duration = Duration::from_millis(400);
const SHUT_DOUBLINGS: u32 = 3;
/// How much a refusal counts as a failure: it costs a repeat, but runs nothing.
const SHED_SAMPLE: f64 = 0.5;
/// The pause of a target that refused a request because it is full.
const SHED_PAUSE: Duration = Duration::from_millis(60);

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Names the target.
    #[serde(rename = "i")]
    pub id: TargetId,
    /// Tells the target's process from an earlier one of the same id: its start.
    #[serde(rename = "l")]
    pub incarnation: u64,
    /// The service that it belongs to.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Where it listens.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Where it runs.
    #[serde(rename = "d")]
    pub data_centre: DataCentre,
    /// Requests that it works on at a time.
    #[serde(rename = "n")]
    pub slots: u32,
    /// Whether it is leaving.
    #[serde(rename = "g")]
    pub draining: bool,
    /// How much longer it is slow after its start.
    #[serde(rename = "w")]
    pub warm_up: Duration,
}

/// One target in use.
#[derive(Debug)]
pub struct Target {
    /// What it said of itself first.
    pub entry: TargetEntry,
    /// Whether it takes no new work.
    pub leaving: Cell<bool>,
    /// Requests of this node at the target.
    pub in_flight: Cell<u32>,
    /// Requests of other nodes at the target, as they told last.
    pub peer_in_flight: Cell<u32>,
    /// Open connections of this node to the target.
    pub connections: Cell<u32>,
    /// Moving average of the time to answer, in seconds; 0 when not known.
    latency: Cell<f64>,
    /// The same for requests that found a free slot, as far as known.
    work: Cell<f64>,
    /// Whether `work` has changed since it was last told.
    work_told: Cell<bool>,
    failures: Cell<u32>,
    /// Moving average of the part of requests that failed, 0 to 1.
    failing: Cell<f64>,
    shut_until: Cell<Option<Instant>>,
    warm_at: Cell<Option<Instant>>,
}

impl Target {
    fn new(entry: TargetEntry, now: Instant) -> Self {
        Self {
            leaving: Cell::new(entry.draining),
            in_flight: Cell::new(0),
            peer_in_flight: Cell::new(0),
            connections: Cell::new(0),
            latency: Cell::new(0.0),
            work: Cell::new(0.0),
            work_told: Cell::new(true),
            failures: Cell::new(0),
            failing: Cell::new(0.0),
            shut_until: Cell::new(None),
            warm_at: Cell::new((!entry.warm_up.is_zero()).then(|| now + entry.warm_up)),
            entry,
        }
    }

    /// Returns the requests of all nodes at the target, as far as known.
    pub fn load(&self) -> u32 {
        self.in_flight.get() + self.peer_in_flight.get()
    }

    /// Returns the moving average of the time to answer, in seconds.
    pub fn latency(&self) -> Option<f64> {
        let latency = self.latency.get();
        (latency > 0.0).then_some(latency)
    }

    /// Returns the moving average of the time to answer without waiting for a slot, in seconds.
    pub fn service_time(&self) -> Option<f64> {
        let work = self.work.get();
        (work > 0.0).then_some(work)
    }

    /// Returns that time if it has changed since the last call.
    pub fn take_changed_service_time(&self) -> Option<f64> {
        let told = self.work_told.replace(true);
        self.service_time().filter(|_| !told)
    }

    /// Returns the part of the latest requests that failed, 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failing.get()
    }

    /// Returns whether the target gets no requests for now, after failures.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.shut_until.get().is_some_and(|until| now < until)
    }

    /// Returns whether the target is still slow after its start.
    pub fn is_warming_up(&self, now: Instant) -> bool {
        self.warm_at.get().is_some_and(|at| now < at)
    }

    /// Records an answer that took this long; `waited` tells whether all slots were busy.
    pub fn record_response(&self, took: Duration, waited: bool) {
        average(&self.latency, took);
        if !waited {
            average(&self.work, took);
            self.work_told.set(false);
        }
        self.failures.set(0);
        self.sample_failing(0.0);
        self.shut_until.set(None);
    }

    /// Records that the target refused a request because it is full.
    pub fn record_refusal(&self, now: Instant) {
        self.sample_failing(SHED_SAMPLE);
        self.shut(now + SHED_PAUSE);
    }

    /// Records a failure; returns whether the target is shut by it.
    pub fn record_failure(&self, now: Instant) -> bool {
        let failures = self.failures.get() + 1;
        self.failures.set(failures);
        self.sample_failing(1.0);
        if failures < FAILURES_TO_SHUT {
            return false;
        }
        let doublings = (failures - FAILURES_TO_SHUT).min(SHUT_DOUBLINGS);
        self.shut(now + SHUT_PAUSE * 2u32.pow(doublings));
        true
    }

    /// Takes the target out at once: nothing listens there, or somebody else does.
    pub fn eject(&self, now: Instant) {
        let failures = self.failures.get().max(FAILURES_TO_SHUT - 1) + 1;
        self.failures.set(failures);
        let doublings = (failures - FAILURES_TO_SHUT).min(SHUT_DOUBLINGS);
        self.shut(now + SHUT_PAUSE * 2u32.pow(doublings));
    }

    fn sample_failing(&self, sample: f64) {
        let held = self.failing.get();
        self.failing.set(held + (sample - held) * EWMA_WEIGHT);
    }

    fn shut(&self, until: Instant) {
        let held = self.shut_until.get();
        self.shut_until
            .set(held.map_or(Some(until), |held| Some(held.max(until))));
    }
}

/// Moves an average towards a sample.
fn average(held: &Cell<f64>, sample: Duration) {
    let (old, sample) = (held.get(), sample.as_secs_f64());
    held.set(match old {
        0.0 => sample,
        _ => old + (sample - old) * EWMA_WEIGHT,
    });
}

/// A target or its end, as the list tells it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TargetUpdate {
    /// The target is listed.
    #[serde(rename = "p")]
    Present(TargetEntry),
    /// The target is not listed any more, or its entry cannot be read.
    #[serde(rename = "a")]
    Absent(TargetId),
}

/// What happened to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FleetChange {
    /// It joined, or started again.
    Joined,
    /// It gets no new work.
    Leaving,
    /// It is not listed any more.
    Gone,
    /// It vanished in an outage of the list and stays in use for a while.
    Lapsed,
}

/// The targets by service.
#[derive(Debug, Default)]
pub struct Fleet {
    services: BTreeMap<ServiceId, Vec<Rc<Target>>>,
    places: BTreeMap<TargetId, ServiceId>,
    lapsed: BTreeSet<TargetId>,
    trouble: Option<Instant>,
    known: bool,
    digest: ListDigest,
}

impl Fleet {
    /// Returns whether the list has been read at least once.
    pub fn is_loaded(&self) -> bool {
        self.known
    }

    /// Returns the targets of a service.
    pub fn of(&self, service: &ServiceId) -> &[Rc<Target>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns a target.
    pub fn get(&self, id: &TargetId) -> Option<&Rc<Target>> {
        let service = self.places.get(id)?;
        self.of(service)
            .iter()
            .find(|target| target.entry.id == *id)
    }

    /// Returns a digest of what is listed; nodes with the same list have the same.
    pub fn digest(&self) -> ListDigest {
        self.digest
    }

    /// Returns every target.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.services.values().flatten()
    }

    /// Records that the list could not be read.
    pub fn record_list_failure(&mut self, now: Instant) {
        self.trouble = Some(now);
    }

    /// Takes the whole list; targets that it does not hold are gone.
    pub fn replace(
        &mut self,
        entries: Vec<TargetEntry>,
        now: Instant,
    ) -> Vec<(TargetId, FleetChange)> {
        self.known = true;
        let listed: BTreeSet<_> = entries.iter().map(|e| e.id.clone()).collect();
        let absent = self.places.keys().filter(|id| !listed.contains(*id));
        let absent: Vec<_> = absent.cloned().map(TargetUpdate::Absent).collect();
        let present = entries.into_iter().map(TargetUpdate::Present);
        self.update(present.chain(absent).collect(), now)
    }

    /// Takes what changed in the list.
    pub fn update(
        &mut self,
        listings: Vec<TargetUpdate>,
        now: Instant,
    ) -> Vec<(TargetId, FleetChange)> {
        let mut changes = Vec::new();
        for listing in listings {
            let change = match listing {
                TargetUpdate::Present(entry) => self.present(entry, now),
                TargetUpdate::Absent(id) => self.absent(id, now),
            };
            changes.extend(change);
        }
        if !changes.is_empty() {
            self.digest = self.digest_now();
        }
        changes
    }

    /// Drops the targets that were not listed again in time after an outage.
    pub fn expire(&mut self, now: Instant) -> Vec<(TargetId, FleetChange)> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= LAPSE_GRACE;
        if self.lapsed.is_empty() || self.trouble.is_some_and(is_recent) {
            return Vec::new();
        }
        let over = std::mem::take(&mut self.lapsed);
        let drop_one = |id: TargetId| {
            self.remove(&id);
            (id, FleetChange::Gone)
        };
        over.into_iter().map(drop_one).collect()
    }

    /// The order of the targets does not count.
    fn digest_now(&self) -> ListDigest {
        let mut digest = ListDigest::default();
        let listed = self.iter().filter(|t| !self.lapsed.contains(&t.entry.id));
        for target in listed {
            let entry = &target.entry;
            let text = format!("{}/{}/{}", entry.id, entry.incarnation, entry.address);
            let hash = xxh3_64(text.as_bytes()) as u32;
            digest.all ^= hash;
            if target.leaving.get() {
                digest.leaving ^= hash;
            } else {
                digest.staying += 1;
            }
        }
        digest
    }

    fn present(&mut self, entry: TargetEntry, now: Instant) -> Option<(TargetId, FleetChange)> {
        let id = entry.id.clone();
        self.lapsed.remove(&id);
        if let Some(held) = self.get(&id) {
            if is_same(&held.entry, &entry) {
                let was_leaving = held.leaving.replace(entry.draining);
                let turned = entry.draining && !was_leaving;
                return turned.then_some((id, FleetChange::Leaving));
            }
            self.remove(&id);
        }
        let service = entry.service.clone();
        self.places.insert(id.clone(), service.clone());
        let target = Rc::new(Target::new(entry, now));
        self.services.entry(service).or_default().push(target);
        Some((id, FleetChange::Joined))
    }

    fn absent(&mut self, id: TargetId, now: Instant) -> Option<(TargetId, FleetChange)> {
        let held = self.get(&id)?;
        let in_outage = self
            .trouble
            .is_some_and(|at| now.saturating_duration_since(at) <= OUTAGE_SHADOW);
        if in_outage && !held.leaving.get() {
            let is_new = self.lapsed.insert(id.clone());
            return is_new.then_some((id, FleetChange::Lapsed));
        }
        self.remove(&id);
        Some((id, FleetChange::Gone))
    }

    fn remove(&mut self, id: &TargetId) {
        self.lapsed.remove(id);
        let Some(service) = self.places.remove(id) else {
            return;
        };
        if let Some(list) = self.services.get_mut(&service) {
            list.retain(|target| {
                let stays = target.entry.id != *id;
                if !stays {
                    target.leaving.set(true);
                }
                stays
            });
        }
    }
}

fn is_same(held: &TargetEntry, entry: &TargetEntry) -> bool {
    held.incarnation == entry.incarnation
        && held.address == entry.address
        && held.service == entry.service
        && held.slots == entry.slots
}
