//! The callers: mixed requests through all entries, and what became of each.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use http_types::Method;

use crate::http;
use crate::http::Answer;
use crate::http::Ask;

/// Keys that are read all the time, each by a caller of its own.
pub const PROBED_KEYS: usize = 24;
const PROBE_PAUSE: Duration = Duration::from_millis(20);
const BOOKING_PAUSE: Duration = Duration::from_millis(15);
const BOOKING_CALLERS: usize = 4;
const SLOW_READ: Duration = Duration::from_secs(1);
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
const DOWNLOAD_LIMIT: Duration = Duration::from_secs(60);

/// Counts of a run.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests sent.
    pub requests: u64,
    /// Whole answers of a target.
    pub whole: u64,
    /// Refused, certainly not run.
    pub not_run: u64,
    /// The reasons of refusals, with their number.
    pub reasons: BTreeMap<String, u64>,
    /// No whole answer, or one that says that the request may have run.
    pub unknown: u64,
    /// Answers that belong to another request or are damaged.
    pub wrong: u64,
}

/// What all callers record.
#[derive(Default)]
pub struct Tally {
    counts: Mutex<Counts>,
    refused_bookings: Mutex<HashSet<String>>,
    successes: Mutex<HashMap<usize, Vec<Instant>>>,
    next_id: AtomicU64,
    stop: AtomicBool,
}

impl Tally {
    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        lock(&self.counts).clone()
    }

    /// Returns the bookings that were refused as not run.
    pub fn refused_bookings(&self) -> HashSet<String> {
        lock(&self.refused_bookings).clone()
    }

    /// Ends all callers after their present request.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Returns the longest time between two answers for one key, within a window.
    pub fn longest_gap(&self, from: Instant, to: Instant) -> Duration {
        let successes = lock(&self.successes);
        successes
            .values()
            .map(|times| key_gap(times, from, to))
            .max()
            .unwrap_or_default()
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn new_id(&self, kind: &str) -> String {
        format!("{kind}-{}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Counts one request; returns whether its own whole answer came.
    fn count(&self, id: &str, answer: &anyhow::Result<Answer>) -> bool {
        let mut counts = lock(&self.counts);
        counts.requests += 1;
        match answer {
            Err(_) => counts.unknown += 1,
            Ok(answer) if answer.outcome.as_deref() == Some("not-run") => {
                counts.not_run += 1;
                *counts.reasons.entry(reason(&answer.body)).or_default() += 1;
            }
            Ok(answer) if answer.outcome.is_some() => counts.unknown += 1,
            Ok(answer) if !holds(&answer.body, id) => counts.wrong += 1,
            Ok(_) => {
                counts.whole += 1;
                return true;
            }
        }
        false
    }
}

/// Starts all callers; they run until [`Tally::stop`].
pub fn start(entries: &[SocketAddr], tally: &Arc<Tally>) -> Vec<task::JoinHandle<()>> {
    let mut callers = Vec::new();
    for key in 0..PROBED_KEYS {
        let entry = entries[key % entries.len()];
        callers.push(task::spawn(probe(entry, key, tally.clone())));
    }
    for i in 0..BOOKING_CALLERS {
        let entry = entries[i % entries.len()];
        callers.push(task::spawn(book(entry, tally.clone())));
    }
    callers
}

/// Downloads `bytes` through an entry; returns whether every byte came and was right.
pub async fn download(entry: SocketAddr, bytes: usize, tally: Arc<Tally>) -> bool {
    let id = tally.new_id("download");
    let path = format!("/desk/download/{bytes}");
    let headers = [("x-request-id", id.as_str())];
    let answer = http::send(entry, Ask::get(&path, &headers), DOWNLOAD_LIMIT).await;
    let mut counts = lock(&tally.counts);
    counts.requests += 1;
    match answer {
        Ok(answer) if answer.body.len() == bytes && answer.status == 200 => {
            counts.whole += 1;
            true
        }
        Ok(answer) if answer.outcome.as_deref() == Some("not-run") => {
            counts.not_run += 1;
            false
        }
        Ok(_) => {
            counts.wrong += 1;
            false
        }
        Err(_) => {
            counts.unknown += 1;
            false
        }
    }
}

async fn probe(entry: SocketAddr, key: usize, tally: Arc<Tally>) {
    while !tally.stopped() {
        let id = tally.new_id("read");
        let path = format!("/status/key-{key}");
        let headers = [("x-request-id", id.as_str())];
        let began = Instant::now();
        let answer = http::send(entry, Ask::get(&path, &headers), ANSWER_LIMIT).await;
        if began.elapsed() > SLOW_READ {
            let took = began.elapsed().as_millis();
            let outcome = answer.as_ref().map(|a| a.status).map_err(|e| e.to_string());
            eprintln!("quickstart: {path} through {entry} took {took} ms: {outcome:?}");
        }
        if tally.count(&id, &answer) {
            lock(&tally.successes)
                .entry(key)
                .or_default()
                .push(Instant::now());
        }
        task::sleep(PROBE_PAUSE).await;
    }
}

async fn book(entry: SocketAddr, tally: Arc<Tally>) {
    while !tally.stopped() {
        let id = tally.new_id("booking");
        let headers = [("x-request-id", id.as_str())];
        let body = b"a booking".to_vec();
        let ask = Ask {
            method: Method::Post,
            path: "/desk/bookings",
            headers: &headers,
            body,
        };
        let answer = http::send(entry, ask, ANSWER_LIMIT).await;
        let refused = answer
            .as_ref()
            .is_ok_and(|a| a.outcome.as_deref() == Some("not-run"));
        if refused {
            lock(&tally.refused_bookings).insert(id.clone());
        }
        tally.count(&id, &answer);
        task::sleep(BOOKING_PAUSE).await;
    }
}

/// Returns the first word of a refusal: its kind, or the target's own words.
fn reason(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    let kind = text.split(':').next().unwrap_or_default();
    kind.trim_matches('"').to_owned()
}

fn holds(body: &[u8], id: &str) -> bool {
    let text = String::from_utf8_lossy(body);
    text.split(|c: char| c.is_whitespace() || c == '"' || c == ',')
        .any(|word| word == id)
}

fn key_gap(times: &[Instant], from: Instant, to: Instant) -> Duration {
    let mut last = from;
    let mut longest = Duration::ZERO;
    for &time in times.iter().filter(|t| **t > from && **t < to) {
        longest = longest.max(time - last);
        last = time;
    }
    longest.max(to.saturating_duration_since(last))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
