//! The request counts that an entry keeps for the burn report.

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
const SERIES_POINTS: usize = 120;

/// Counts the completed requests of each service; shared by the threads of an entry.
///
/// Memory is bounded: requests of services beyond [`MAX_SERVICES`] are not counted.
#[derive(Debug)]
pub struct Recorder {
    vm: VmId,
    data_centre: DataCentre,
    latency_limit: Duration,
    windows: Vec<Duration>,
    bucket_width: Duration,
    start: Instant,
    rings: RwLock<BTreeMap<ServiceId, Mutex<Ring>>>,
}

impl Recorder {
    /// Creates a recorder without requests, with the windows and latency limit of the settings.
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
            latency_limit: settings.report.latency,
            windows,
            bucket_width: (shortest / BUCKETS_PER_WINDOW).max(longest / MAX_BUCKETS),
            start: now,
            rings: RwLock::default(),
        }
    }

    /// Counts a request that completed now.
    ///
    /// `latency` is the time until the target's response began, or `None` without a response,
    /// which counts as bad.
    pub fn record(&self, service: &ServiceId, latency: Option<Duration>, now: Instant) {
        let good = latency.is_some_and(|latency| latency <= self.latency_limit);
        if !self.add(service, good, now) {
            self.add_service(service);
            self.add(service, good, now);
        }
    }

    /// Returns the counts of all services, as served to the burn report.
    pub fn report(&self, now: Instant) -> EntryBurn {
        let rings = self.rings.read().unwrap_or_else(PoisonError::into_inner);
        let services = rings.iter();
        EntryBurn {
            vm: self.vm.clone(),
            data_centre: self.data_centre.clone(),
            point_s: (self.bucket_width * self.buckets_per_point() as u32).as_secs_f64(),
            services: services
                .map(|(name, ring)| self.service_burn(name, &mut lock(ring), now))
                .collect(),
        }
    }

    fn service_burn(&self, name: &ServiceId, ring: &mut Ring, now: Instant) -> ServiceBurn {
        let window = |&window: &Duration| WindowCounts {
            window_ms: window.as_millis() as u64,
            counts: ring.sum(window, now),
        };
        ServiceBurn {
            service: name.clone(),
            windows: self.windows.iter().map(window).collect(),
            points: ring.points(SERIES_POINTS, self.buckets_per_point(), now),
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

    fn add_service(&self, service: &ServiceId) {
        let mut rings = self.rings.write().unwrap_or_else(PoisonError::into_inner);
        if rings.len() < MAX_SERVICES {
            let ring = || {
                Mutex::new(Ring::new(
                    self.bucket_width,
                    self.bucket_count(),
                    self.start,
                ))
            };
            rings.entry(service.clone()).or_insert_with(ring);
        }
    }

    fn bucket_count(&self) -> usize {
        let longest = self.windows.last().copied().unwrap_or(self.bucket_width);
        longest.as_nanos().div_ceil(self.bucket_width.as_nanos()) as usize
    }

    fn buckets_per_point(&self) -> usize {
        self.bucket_count().div_ceil(SERIES_POINTS).max(1)
    }
}

fn lock(ring: &Mutex<Ring>) -> std::sync::MutexGuard<'_, Ring> {
    ring.lock().unwrap_or_else(PoisonError::into_inner)
}
