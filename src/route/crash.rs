//! Detects requests that crash every target that runs them, and quarantines them.
//!
//! A crash is counted for each request that was in flight to the target. A fingerprint is
//! quarantined after two crashes, unless a request with the same fingerprint received a response
//! in between, or at least as many crashes without it happened in the same time, since it is then
//! probably not the cause. If other requests were in flight at the same two crashes, a third crash
//! is required.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::events;
use crate::events::Event;
use crate::ids::ServiceId;
use crate::ids::TargetId;

/// How long requests with a quarantined fingerprint are refused.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(300);
/// How long a crash counts for the requests that were in flight to the target.
pub const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Failed connections to one target within this time count as one crash.
pub const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// How long after a crash the failures of other requests at the same target are awaited.
pub const CRASH_COLLECTION_TIME: Duration = Duration::from_millis(50);

const MAX_FACTS: usize = 512;
/// Maximum facts per datagram: 12 facts of about 80 bytes fit a packet.
const RECENT_FACTS: usize = 12;
const CRASHES_TO_QUARANTINE: usize = 2;
const CRASHES_IF_AMBIGUOUS: usize = 3;

/// The crash facts of one VM. They carry ages instead of times, because clocks differ between VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The facts, oldest first.
    pub facts: Vec<CrashFact>,
}

/// One observation about requests with a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFact {
    /// The fingerprint of the requests; see [`RequestInfo`](crate::route::RequestInfo).
    pub fingerprint: u64,
    /// The time since the observation, in milliseconds.
    pub age_ms: u64,
    /// What was observed.
    pub kind: CrashKind,
}

/// The kind of an observation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashKind {
    /// The target crashed while the request was in flight to it.
    Crashed {
        /// The target's service.
        service: ServiceId,
        /// The identifier of the target.
        target: TargetId,
    },
    /// A target responded to the request.
    Answered,
}

/// The crash facts that a VM has observed or received, limited in number and age.
#[derive(Debug, Default)]
pub(crate) struct CrashTracker {
    facts: Mutex<VecDeque<Fact>>,
    cases: Mutex<HashMap<u64, Case>>,
    fact_count: AtomicUsize,
    /// Increases with every new fact.
    version: AtomicU64,
    /// Increases with every new fact that this VM has observed itself.
    observed_version: AtomicU64,
    case_count: AtomicUsize,
}

/// The state of a fingerprint that is suspected of causing crashes.
#[derive(Clone, Copy, Debug)]
enum Case {
    /// Enough crashes are known; the decision is made at this instant, once the failures of other
    /// requests at the same targets are known too.
    Collecting(Instant),
    /// Requests are refused until this instant.
    Quarantined(Instant),
}

/// Whether requests with a fingerprint may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Requests may be sent.
    Allowed,
    /// The decision is made at this instant.
    Pending(Instant),
    /// Requests are refused.
    Quarantined,
}

#[derive(Clone, Debug)]
struct Fact {
    at: Instant,
    fingerprint: u64,
    kind: CrashKind,
    source: Source,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// Observed by this VM.
    Observed,
    /// Received from another VM.
    Received,
}

impl CrashTracker {
    /// Returns the verdict on requests with a fingerprint, and starts a quarantine when it is due.
    pub(crate) fn verdict(&self, fingerprint: u64, now: Instant) -> Verdict {
        if self.case_count.load(Ordering::Relaxed) == 0 {
            return Verdict::Allowed;
        }
        let case = lock(&self.cases).get(&fingerprint).copied();
        match case {
            None => Verdict::Allowed,
            Some(Case::Collecting(until)) if until > now => Verdict::Pending(until),
            Some(Case::Collecting(_)) if causes_crashes(&lock(&self.facts), fingerprint, now) => {
                self.quarantine(fingerprint, now);
                Verdict::Quarantined
            }
            Some(Case::Quarantined(until)) if until > now => Verdict::Quarantined,
            Some(_) => {
                let mut cases = lock(&self.cases);
                cases.remove(&fingerprint);
                self.case_count.store(cases.len(), Ordering::Relaxed);
                Verdict::Allowed
            }
        }
    }

    /// Returns true if a target crashed with such a request in flight and none received a response
    /// since.
    pub(crate) fn is_suspect(&self, fingerprint: u64, now: Instant) -> bool {
        if self.fact_count.load(Ordering::Relaxed) == 0 {
            return false;
        }
        let facts = lock(&self.facts);
        !unresolved_crashes(&facts, fingerprint, now).is_empty()
    }

    /// Records that a target crashed while such a request was in flight to it.
    pub(crate) fn record_crash(
        &self,
        fingerprint: u64,
        service: &ServiceId,
        target: &TargetId,
        now: Instant,
    ) {
        let kind = CrashKind::Crashed {
            service: service.clone(),
            target: target.clone(),
        };
        let fact = Fact {
            at: now,
            fingerprint,
            kind,
            source: Source::Observed,
        };
        self.add_fact(fact, now);
    }

    /// Records that a target responded to such a request.
    pub(crate) fn record_response(&self, fingerprint: u64, now: Instant) {
        if self.is_suspect(fingerprint, now) {
            let fact = Fact {
                at: now,
                fingerprint,
                kind: CrashKind::Answered,
                source: Source::Observed,
            };
            self.add_fact(fact, now);
        }
    }

    /// Returns all facts, with their ages.
    pub(crate) fn report(&self, now: Instant) -> CrashReport {
        let facts = lock(&self.facts);
        CrashReport {
            facts: facts.iter().map(|fact| fact.to_report(now)).collect(),
        }
    }

    /// Returns the newest facts that this VM has observed itself, as many as fit a datagram.
    pub(crate) fn observed_report(&self, now: Instant) -> CrashReport {
        let facts = lock(&self.facts);
        let observed = facts.iter().filter(|f| f.source == Source::Observed);
        let newest = observed.rev().take(RECENT_FACTS);
        let mut entries: Vec<_> = newest.map(|fact| fact.to_report(now)).collect();
        entries.reverse();
        CrashReport { facts: entries }
    }

    /// Returns a version that increases when [`Self::observed_report`] contains a new fact.
    pub(crate) fn observed_version(&self) -> u64 {
        self.observed_version.load(Ordering::Relaxed)
    }

    /// Returns a version that increases with every new fact.
    pub(crate) fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// Adds the facts of another VM.
    pub(crate) fn merge(&self, report: &CrashReport, now: Instant) {
        for fact in report.facts.iter().take(MAX_FACTS) {
            let age = Duration::from_millis(fact.age_ms);
            if let Some(at) = now.checked_sub(age).filter(|_| age < CRASH_RETENTION) {
                let fact = Fact {
                    at,
                    fingerprint: fact.fingerprint,
                    kind: fact.kind.clone(),
                    source: Source::Received,
                };
                self.add_fact(fact, now);
            }
        }
    }

    fn add_fact(&self, fact: Fact, now: Instant) {
        let (fingerprint, at, source) = (fact.fingerprint, fact.at, fact.source);
        let mut facts = lock(&self.facts);
        facts.retain(|f| now.saturating_duration_since(f.at) < CRASH_RETENTION);
        let is_known = facts.iter().any(|known| known.is_same(&fact));
        if !is_known {
            insert(&mut facts, fact);
            self.version.fetch_add(1, Ordering::Relaxed);
            if source == Source::Observed {
                self.observed_version.fetch_add(1, Ordering::Relaxed);
            }
        }
        self.fact_count.store(facts.len(), Ordering::Relaxed);
        if is_known {
            return;
        }
        if causes_crashes(&facts, fingerprint, now) {
            drop(facts);
            self.open_case(fingerprint, at, now);
        }
    }

    /// Opens a case to be decided after [`CRASH_COLLECTION_TIME`], because more failures from the
    /// same crash may be reported.
    fn open_case(&self, fingerprint: u64, at: Instant, now: Instant) {
        let mut cases = lock(&self.cases);
        if cases.len() >= MAX_FACTS {
            cases.retain(|_, case| case.until() > now);
        }
        if cases.len() < MAX_FACTS {
            let case = Case::Collecting(at + CRASH_COLLECTION_TIME);
            cases.entry(fingerprint).or_insert(case);
        }
        self.case_count.store(cases.len(), Ordering::Relaxed);
    }

    fn quarantine(&self, fingerprint: u64, now: Instant) {
        let case = Case::Quarantined(now + QUARANTINE_DURATION);
        lock(&self.cases).insert(fingerprint, case);
        events::record(
            Event::RequestQuarantined,
            format_args!("fingerprint {fingerprint:016x}"),
        );
    }
}

impl Case {
    fn until(self) -> Instant {
        match self {
            Self::Collecting(until) | Self::Quarantined(until) => until,
        }
    }
}

impl Fact {
    fn to_report(&self, now: Instant) -> CrashFact {
        CrashFact {
            fingerprint: self.fingerprint,
            age_ms: now.saturating_duration_since(self.at).as_millis() as u64,
            kind: self.kind.clone(),
        }
    }

    fn is_same(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint
            && self.kind == other.kind
            && time_between(self.at, other.at) < CRASH_WINDOW
    }

    fn is_crash(&self) -> bool {
        matches!(self.kind, CrashKind::Crashed { .. })
    }

    fn is_same_crash(&self, other: &Self) -> bool {
        self.kind == other.kind && time_between(self.at, other.at) < CRASH_WINDOW
    }
}

fn insert(facts: &mut VecDeque<Fact>, fact: Fact) {
    if facts.len() == MAX_FACTS {
        facts.pop_front();
    }
    let index = facts.partition_point(|known| known.at <= fact.at);
    facts.insert(index, fact);
}

/// Returns the crashes of a fingerprint since its last response.
fn unresolved_crashes(facts: &VecDeque<Fact>, fingerprint: u64, now: Instant) -> Vec<&Fact> {
    let recent = facts
        .iter()
        .filter(|f| now.saturating_duration_since(f.at) < CRASH_RETENTION);
    let mut open = Vec::new();
    for fact in recent.filter(|f| f.fingerprint == fingerprint) {
        match fact.kind {
            CrashKind::Answered => open.clear(),
            CrashKind::Crashed { .. } => open.push(fact),
        }
    }
    open
}

fn causes_crashes(facts: &VecDeque<Fact>, fingerprint: u64, now: Instant) -> bool {
    let own = distinct_crashes(unresolved_crashes(facts, fingerprint, now), usize::MAX);
    if own.len() < CRASHES_TO_QUARANTINE {
        return false;
    }
    if own.len() < CRASHES_IF_AMBIGUOUS && is_ambiguous(facts, fingerprint, &own, now) {
        return false;
    }
    let first = own[0];
    let others = facts
        .iter()
        .filter(|f| f.is_crash() && f.at >= first.at)
        .filter(|f| !own.iter().any(|crash| crash.is_same_crash(f)));
    distinct_crashes(others, own.len()).len() < own.len()
}

/// Returns true if another fingerprint was in flight at every one of these crashes too.
fn is_ambiguous(facts: &VecDeque<Fact>, fingerprint: u64, crashes: &[&Fact], now: Instant) -> bool {
    let recent = facts
        .iter()
        .filter(|f| now.saturating_duration_since(f.at) < CRASH_RETENTION);
    // For each other fingerprint, the crashes at which it was in flight since its last response.
    let mut present: HashMap<u64, Vec<bool>> = HashMap::new();
    for fact in recent.filter(|f| f.fingerprint != fingerprint) {
        if !fact.is_crash() {
            present.remove(&fact.fingerprint);
            continue;
        }
        for (index, _) in crashes
            .iter()
            .enumerate()
            .filter(|(_, crash)| crash.is_same_crash(fact))
        {
            let flags = present.entry(fact.fingerprint).or_default();
            flags.resize(crashes.len(), false);
            flags[index] = true;
        }
    }
    present.values().any(|flags| flags.iter().all(|flag| *flag))
}

/// Returns one fact of each crash, for at most `limit` crashes.
fn distinct_crashes<'a>(
    crashes: impl IntoIterator<Item = &'a Fact>,
    limit: usize,
) -> Vec<&'a Fact> {
    let mut kept: Vec<&Fact> = Vec::new();
    for crash in crashes {
        if kept.len() >= limit {
            break;
        }
        if !kept.iter().any(|known| known.is_same_crash(crash)) {
            kept.push(crash);
        }
    }
    kept
}

fn time_between(one: Instant, other: Instant) -> Duration {
    one.max(other) - one.min(other)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
