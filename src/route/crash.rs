//! Recognises requests that crash each target that runs them.
//!
//! A crash leaves a *sighting* on every request that was at the target. A request is quarantined
//! once it has sightings at two crashes, unless an answer to a request alike came in between, or
//! as many crashes without it happened in the same time, which makes chance the likelier cause.
//! Requests that were at the same two crashes are told apart by a third.

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

/// How long a quarantine lasts.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(300);
/// How long a crash is held against the requests that were at the target.
pub const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Broken connections of one target within this time count as one crash.
pub const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// How long after a crash the requests that were at the target are gathered.
pub const CRASH_COLLECTION_TIME: Duration = Duration::from_millis(50);

const MAX_FACTS: usize = 512;
/// Facts of about 80 bytes that fit a packet.
const RECENT_FACTS: usize = 12;
const CRASHES_TO_QUARANTINE: usize = 2;
const CRASHES_TO_TELL_TWINS: usize = 3;

/// What one VM knows of crashes; ages instead of times, since clocks differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The facts, oldest first.
    pub facts: Vec<CrashFact>,
}

/// One observation about requests with a fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFact {
    /// The requests' fingerprint.
    pub fingerprint: u64,
    /// How long ago it was observed, in milliseconds.
    pub age_ms: u64,
    /// What was observed.
    pub kind: CrashKind,
}

/// What was observed of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashKind {
    /// The target crashed while it had the request.
    Crashed {
        /// The target's service.
        service: ServiceId,
        /// The target.
        target: TargetId,
    },
    /// A target answered the request.
    Answered,
}

/// The crashes that a VM has observed or heard of, bounded in number and time.
#[derive(Debug, Default)]
pub(crate) struct CrashTracker {
    facts: Mutex<VecDeque<Fact>>,
    cases: Mutex<HashMap<u64, Case>>,
    fact_count: AtomicUsize,
    /// Rises with every fact that is new.
    version: AtomicU64,
    case_count: AtomicUsize,
}

/// What is held against requests with one fingerprint.
#[derive(Clone, Copy, Debug)]
enum Case {
    /// They may be the cause of two crashes; decided then.
    Open(Instant),
    /// They are refused until then.
    Quarantined(Instant),
}

/// Whether requests with a fingerprint may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// They may.
    Free,
    /// Not known before this instant.
    Later(Instant),
    /// They are refused.
    Quarantined,
}

#[derive(Clone, Debug)]
struct Fact {
    at: Instant,
    fingerprint: u64,
    kind: CrashKind,
}

impl CrashTracker {
    /// Returns whether requests with the fingerprint may be sent now.
    pub(crate) fn verdict(&self, fingerprint: u64, now: Instant) -> Verdict {
        if self.case_count.load(Ordering::Relaxed) == 0 {
            return Verdict::Free;
        }
        let case = lock(&self.cases).get(&fingerprint).copied();
        match case {
            None => Verdict::Free,
            Some(Case::Open(until)) if until > now => Verdict::Later(until),
            Some(Case::Open(_)) if is_poison(&lock(&self.facts), fingerprint, now) => {
                self.quarantine(fingerprint, now);
                Verdict::Quarantined
            }
            Some(Case::Quarantined(until)) if until > now => Verdict::Quarantined,
            Some(_) => {
                let mut cases = lock(&self.cases);
                cases.remove(&fingerprint);
                self.case_count.store(cases.len(), Ordering::Relaxed);
                Verdict::Free
            }
        }
    }

    /// Returns whether a target crashed under such a request and none was answered since.
    pub(crate) fn is_suspect(&self, fingerprint: u64, now: Instant) -> bool {
        if self.fact_count.load(Ordering::Relaxed) == 0 {
            return false;
        }
        let facts = lock(&self.facts);
        !open_crashes(&facts, fingerprint, now).is_empty()
    }

    /// Records that a target crashed while it had such a request.
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
        self.learn(fingerprint, kind, now, now);
    }

    /// Records that a target answered such a request.
    pub(crate) fn record_response(&self, fingerprint: u64, now: Instant) {
        if self.is_suspect(fingerprint, now) {
            self.learn(fingerprint, CrashKind::Answered, now, now);
        }
    }

    /// Returns what is known.
    pub(crate) fn report(&self, now: Instant) -> CrashReport {
        let facts = lock(&self.facts);
        let told = facts.iter().map(|fact| CrashFact {
            fingerprint: fact.fingerprint,
            age_ms: now.saturating_duration_since(fact.at).as_millis() as u64,
            kind: fact.kind.clone(),
        });
        CrashReport {
            facts: told.collect(),
        }
    }

    /// Returns the newest facts, few enough for a datagram.
    pub(crate) fn recent_report(&self, now: Instant) -> CrashReport {
        let mut report = self.report(now);
        let surplus = report.facts.len().saturating_sub(RECENT_FACTS);
        report.facts.drain(..surplus);
        report
    }

    /// Returns a count that rises with every fact that is new.
    pub(crate) fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// Takes what another VM knows.
    pub(crate) fn merge(&self, report: &CrashReport, now: Instant) {
        for fact in report.facts.iter().take(MAX_FACTS) {
            let age = Duration::from_millis(fact.age_ms);
            if let Some(at) = now.checked_sub(age).filter(|_| age < CRASH_RETENTION) {
                self.learn(fact.fingerprint, fact.kind.clone(), at, now);
            }
        }
    }

    fn learn(&self, fingerprint: u64, kind: CrashKind, at: Instant, now: Instant) {
        let fact = Fact {
            at,
            fingerprint,
            kind,
        };
        let mut facts = lock(&self.facts);
        facts.retain(|f| now.saturating_duration_since(f.at) < CRASH_RETENTION);
        if !facts.iter().any(|held| held.is_same(&fact)) {
            insert(&mut facts, fact);
            self.version.fetch_add(1, Ordering::Relaxed);
        }
        self.fact_count.store(facts.len(), Ordering::Relaxed);
        if is_poison(&facts, fingerprint, now) {
            drop(facts);
            self.open(fingerprint, at, now);
        }
    }

    /// Opens a case; connections that the same crash broke may still be reported.
    fn open(&self, fingerprint: u64, at: Instant, now: Instant) {
        let mut cases = lock(&self.cases);
        if cases.len() >= MAX_FACTS {
            cases.retain(|_, case| case.until() > now);
        }
        if cases.len() < MAX_FACTS {
            let case = Case::Open(at + CRASH_COLLECTION_TIME);
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
            Self::Open(until) | Self::Quarantined(until) => until,
        }
    }
}

impl Fact {
    fn is_same(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint
            && self.kind == other.kind
            && gap(self.at, other.at) < CRASH_WINDOW
    }

    fn is_crash(&self) -> bool {
        matches!(self.kind, CrashKind::Crashed { .. })
    }

    fn is_same_crash(&self, other: &Self) -> bool {
        self.kind == other.kind && gap(self.at, other.at) < CRASH_WINDOW
    }
}

fn insert(facts: &mut VecDeque<Fact>, fact: Fact) {
    if facts.len() == MAX_FACTS {
        facts.pop_front();
    }
    let place = facts.partition_point(|held| held.at <= fact.at);
    facts.insert(place, fact);
}

/// Returns the crashes held against a fingerprint since it was last answered.
fn open_crashes(facts: &VecDeque<Fact>, fingerprint: u64, now: Instant) -> Vec<&Fact> {
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

fn is_poison(facts: &VecDeque<Fact>, fingerprint: u64, now: Instant) -> bool {
    let own = distinct(&open_crashes(facts, fingerprint, now));
    let Some(first) = own.first() else {
        return false;
    };
    let others: Vec<&Fact> = facts
        .iter()
        .filter(|f| f.is_crash() && f.at >= first.at)
        .filter(|f| !own.iter().any(|crash| crash.is_same_crash(f)))
        .collect();
    let needed = if has_twin(facts, fingerprint, &own, now) {
        CRASHES_TO_TELL_TWINS
    } else {
        CRASHES_TO_QUARANTINE
    };
    own.len() >= needed && own.len() > distinct(&others).len()
}

/// Returns whether other requests were at every one of these crashes too.
fn has_twin(facts: &VecDeque<Fact>, fingerprint: u64, crashes: &[&Fact], now: Instant) -> bool {
    let was_at_all = |other: u64| {
        let open = open_crashes(facts, other, now);
        let was_at = |crash: &&Fact| open.iter().any(|f| f.is_same_crash(crash));
        crashes.iter().all(was_at)
    };
    let mut others = facts.iter().map(|f| f.fingerprint);
    others.any(|other| other != fingerprint && was_at_all(other))
}

fn distinct<'a>(crashes: &[&'a Fact]) -> Vec<&'a Fact> {
    let mut kept: Vec<&Fact> = Vec::new();
    for crash in crashes {
        if !kept.iter().any(|held| held.is_same_crash(crash)) {
            kept.push(crash);
        }
    }
    kept
}

fn gap(one: Instant, other: Instant) -> Duration {
    one.max(other) - one.min(other)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
