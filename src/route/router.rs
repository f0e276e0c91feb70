//! The router: the state shared by all calls of an entry.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;

use crate::events;
use crate::events::Event;
use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::ids::VmId;
use crate::route::attempt::Attempt;
use crate::route::call::RequestInfo;
use crate::route::crash::CrashReport;
use crate::route::crash::CrashTracker;
use crate::route::key_counts::ServiceLoads;
use crate::route::load::LoadReport;
use crate::route::load::PeerLoads;
use crate::route::load::TargetLoad;
use crate::route::share::EntryRank;
use crate::route::table::ServiceRoute;
use crate::route::table::Table;
use crate::view::View;

/// The identity of the entry that a router belongs to.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// The entry's VM.
    pub vm: VmId,
    /// The entry's data centre; its targets are preferred.
    pub data_centre: DataCentre,
    /// The entry's rank among all entries, which determines its shares of connections.
    pub rank: EntryRank,
    /// The seed of the pseudo-random numbers used in target selection.
    pub seed: u64,
}

/// Selects targets for the calls of one entry.
#[derive(Debug)]
pub struct Router {
    pub(crate) table: ArcSwap<Table>,
    pub(crate) crashes: CrashTracker,
    /// The number of calls that wait in any queue.
    pub(crate) waiting: Arc<AtomicUsize>,
    config: Mutex<RouterConfig>,
    peer_loads: Mutex<PeerLoads>,
    report_count: AtomicU64,
    epoch: OnceLock<Instant>,
    random: AtomicU64,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            vm: VmId::from("entry"),
            data_centre: DataCentre::from(""),
            rank: EntryRank::default(),
            seed: 0,
        }
    }
}

impl Default for Router {
    fn default() -> Self {
        Self::new(Arc::default())
    }
}

impl Router {
    /// Creates a router for a view, with the default configuration of a single entry.
    pub fn new(view: Arc<View>) -> Self {
        Self::with_config(view, RouterConfig::default())
    }

    /// Creates a router for a view, with the given configuration.
    pub fn with_config(view: Arc<View>, config: RouterConfig) -> Self {
        let empty = Table::default();
        let table = Table::compile(view, &empty, config.rank, &config.data_centre);
        Self {
            table: ArcSwap::from_pointee(table),
            crashes: CrashTracker::default(),
            waiting: Arc::default(),
            peer_loads: Mutex::default(),
            report_count: AtomicU64::new(0),
            epoch: OnceLock::new(),
            random: AtomicU64::new(config.seed),
            config: Mutex::new(config),
        }
    }

    /// Replaces the view and wakes all waiting calls.
    pub fn update(&self, view: Arc<View>) {
        let config = lock(&self.config);
        self.recompile(view, &config);
    }

    /// Sets the entry's rank among all entries and recomputes its shares of connections.
    pub fn set_rank(&self, rank: EntryRank) {
        let mut config = lock(&self.config);
        if config.rank != rank {
            config.rank = rank;
            self.recompile(self.view(), &config);
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        self.table.load().view.clone()
    }

    /// Returns the service with the longest prefix that matches a path.
    pub fn service_of(&self, path: &str) -> Option<ServiceId> {
        self.table.load().prefixes.service(path).cloned()
    }

    /// Returns true if a target other than the attempt's now owns the request's key.
    pub fn is_superseded(&self, info: &RequestInfo, attempt: &Attempt) -> bool {
        let table = self.table.load();
        let route = table.services.get(&info.service);
        let key = info.key_hash.zip(route);
        let owner = key.and_then(|(hash, route)| route.key_route(hash)?.owner);
        owner.is_some_and(|owner| owner.target.address != attempt.address)
    }

    /// Records the load in percent that a target's load endpoint reports. It has little weight in
    /// target selection, because targets may report wrong values.
    pub fn record_load_hint(
        &self,
        service: &ServiceId,
        target: &TargetId,
        percent: u32,
        now: Instant,
    ) {
        let name = (service.clone(), target.clone());
        if let Some(stats) = self.table.load().stats.get(&name) {
            stats.set_load_hint(percent, self.micros(now));
        }
    }

    /// Returns a report to other entries of the requests in flight to targets of unkeyed services.
    pub fn load_report(&self) -> LoadReport {
        let table = self.table.load();
        let unkeyed = table
            .services
            .values()
            .filter(|route| route.service.keying.is_none());
        let mut busy = Vec::new();
        for route in unkeyed {
            for target in &route.targets {
                let in_flight = target.stats.in_flight.load(Ordering::SeqCst);
                if in_flight > 0 {
                    let service = route.id.clone();
                    let target = target.id.clone();
                    busy.push(TargetLoad {
                        service,
                        target,
                        in_flight,
                    });
                }
            }
        }
        LoadReport {
            vm: lock(&self.config).vm.clone(),
            number: self.report_count.fetch_add(1, Ordering::Relaxed) + 1,
            busy,
        }
    }

    /// Applies the report of another entry and wakes the first waiting call of each service.
    pub fn apply_load_report(&self, report: &LoadReport, now: Instant) {
        let table = self.table.load();
        lock(&self.peer_loads).apply(report, &table.stats, now);
        for route in table.services.values() {
            route.shared.queue.wake_first();
        }
    }

    /// Removes the reports of entries that have stopped reporting; call it about once a second.
    pub fn expire_load_reports(&self, now: Instant) {
        lock(&self.peer_loads).expire(now);
    }

    /// Returns the request rates of the keyed services and resets their counts.
    ///
    /// `elapsed` is the time since the previous call.
    pub fn take_key_loads(&self, elapsed: Duration) -> Vec<ServiceLoads> {
        let table = self.table.load();
        let keyed = table
            .services
            .values()
            .filter(|route| route.service.keying.is_some());
        let take = |route: &Arc<ServiceRoute>| route.shared.counts.take(&route.id, elapsed);
        keyed.map(take).collect()
    }

    /// Returns the crash facts that this entry has, for other entries.
    pub fn crash_report(&self, now: Instant) -> CrashReport {
        self.crashes.report(now)
    }

    /// Returns a version that increases when [`Router::crash_report`] contains a new fact.
    pub fn crash_version(&self) -> u64 {
        self.crashes.version()
    }

    /// Adds the crash facts of another entry.
    pub fn merge_crash_report(&self, report: &CrashReport, now: Instant) {
        self.crashes.merge(report, now);
    }

    /// Returns the number of calls that wait in all queues of the entry.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight from this entry to a target.
    pub fn in_flight(&self, service: &ServiceId, target: &TargetId) -> u32 {
        let name = (service.clone(), target.clone());
        let table = self.table.load();
        let stats = table.stats.get(&name);
        stats.map_or(0, |stats| stats.in_flight.load(Ordering::SeqCst))
    }

    /// Returns the time since the router's epoch, its first event, in microseconds plus 1.
    pub(crate) fn micros(&self, now: Instant) -> u64 {
        let epoch = *self.epoch.get_or_init(|| now);
        now.saturating_duration_since(epoch).as_micros() as u64 + 1
    }

    /// Returns the instant for a value of [`Router::micros`]; `None` before the first event.
    pub(crate) fn instant(&self, micros: u64) -> Option<Instant> {
        let since = Duration::from_micros(micros.saturating_sub(1));
        self.epoch.get().map(|epoch| *epoch + since)
    }

    /// Returns a pseudo-random number.
    pub(crate) fn random(&self) -> u64 {
        let step = 0x9e37_79b9_7f4a_7c15_u64;
        let mut x = self.random.fetch_add(step, Ordering::Relaxed);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// Records a failure of an attempt's target. Ejects the target after too many failures, unless
    /// fewer than half of the service's targets would remain.
    pub(crate) fn record_target_failure(&self, attempt: &Attempt, now: Instant) {
        let stats = &attempt.stats;
        stats.record_failure();
        let micros = self.micros(now);
        if !stats.is_failing() || stats.is_ejected(micros) {
            return;
        }
        let table = self.table.load();
        let Some(route) = table.services.get(&attempt.service) else {
            return;
        };
        if route.may_eject(micros) {
            stats.eject(micros);
            events::record(
                Event::TargetEjected,
                format_args!("service {} target {}", attempt.service, attempt.target),
            );
        }
    }

    fn recompile(&self, view: Arc<View>, config: &RouterConfig) {
        let old = self.table.load_full();
        let table = Table::compile(view, &old, config.rank, &config.data_centre);
        self.table.store(Arc::new(table));
        for route in old.services.values() {
            route.shared.wake_all();
            for target in &route.targets {
                target.stats.queue.wake_all();
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}
