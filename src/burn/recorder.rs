//! What an entry keeps of its requests' ends.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use crate::burn::EntryBurn;
use crate::burn::Ring;
use crate::burn::ServiceBurn;
use crate::burn::WindowCounts;
use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::ids::VmId;
use crate::settings::Settings;
use crate::ticket::check::MAX_SERVICES;

const BUCKETS_PER_WINDOW: u32 = 20;
const MAX_BUCKETS: u32 = 4096;
const POINTS: usize = 120;

/// Counts requests by service in memory of a fixed size; shared by the threads of an entry.
#[derive(Debug)]
pub struct Recorder {
    vm: VmId,
    data_centre: DataCentre,
    latency: Duration,
    windows: Vec<Duration>,
    width: Duration,
    start: Instant,
    rings: RwLock<BTreeMap<ServiceId, Mutex<Ring>>>,
}

impl Recorder {
    /// Starts without requests.
    pub fn new(settings: &Settings, now: Instant) -> Self {
        let pairs = settings.report.windows.iter();
        let mut windows: Vec<Duration> = pairs.flat_map(|pair| [pair.short, pair.long]).collect();
        windows.sort_unstable();
        windows.dedup();
        let shortest = windows.first().copied().unwrap_or(Duration::from_secs(60));
        let longest = windows.last().copied().unwrap_or(shortest);
        Self {
            vm: settings.vm.name.clone(),
            data_centre: settings.vm.data_centre.clone(),
            latency: settings.report.latency,
            windows,
            width: (shortest / BUCKETS_PER_WINDOW).max(longest / MAX_BUCKETS),
            start: now,
            rings: RwLock::default(),
        }
    }

    /// Counts a request that ended now: `took` is the time until the target's answer began, `None`
    /// when there was none.
    pub fn record(&self, service: &ServiceId, took: Option<Duration>, now: Instant) {
        let good = took.is_some_and(|took| took <= self.latency);
        if !self.add(service, good, now) {
            self.insert(service);
            self.add(service, good, now);
        }
    }

    /// Returns what the entry serves.
    pub fn report(&self, now: Instant) -> EntryBurn {
        let rings = self.rings.read().unwrap_or_else(PoisonError::into_inner);
        let services = rings.iter();
        EntryBurn {
            vm: self.vm.clone(),
            data_centre: self.data_centre.clone(),
            point_s: (self.width * self.point_buckets() as u32).as_secs_f64(),
            services: services
                .map(|(name, ring)| self.service(name, &mut lock(ring), now))
                .collect(),
        }
    }

    fn service(&self, name: &ServiceId, ring: &mut Ring, now: Instant) -> ServiceBurn {
        let window = |&window: &Duration| WindowCounts {
            window_ms: window.as_millis() as u64,
            counts: ring.sum(window, now),
        };
        ServiceBurn {
            service: name.clone(),
            windows: self.windows.iter().map(window).collect(),
            points: ring.points(POINTS, self.point_buckets(), now),
        }
    }

    fn add(&self, service: &ServiceId, good: bool, now: Instant) -> bool {
        let rings = self.rings.read().unwrap_or_else(PoisonError::into_inner);
        let ring = rings.get(service);
        if let Some(ring) = ring {
            lock(ring).add(good, now);
        }
        ring.is_some()
    }

    fn insert(&self, service: &ServiceId) {
        let mut rings = self.rings.write().unwrap_or_else(PoisonError::into_inner);
        if rings.len() < MAX_SERVICES {
            let ring = || Mutex::new(Ring::new(self.width, self.buckets(), self.start));
            rings.entry(service.clone()).or_insert_with(ring);
        }
    }

    fn buckets(&self) -> usize {
        let longest = self.windows.last().copied().unwrap_or(self.width);
        longest.as_nanos().div_ceil(self.width.as_nanos()) as usize
    }

    fn point_buckets(&self) -> usize {
        self.buckets().div_ceil(POINTS).max(1)
    }
}

fn lock(ring: &Mutex<Ring>) -> std::sync::MutexGuard<'_, Ring> {
    ring.lock().unwrap_or_else(PoisonError::into_inner)
}
