//! The state of a node, shared by its proxy and control tasks. It uses cells without locks because
//! all tasks run on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::clock::Clock;
use crate::evacuation::Evacuations;
use crate::ids::BootId;
use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::ids::VmId;
use crate::memory::Account;
use crate::node::connections::Connections;
use crate::node::counters::Counters;
use crate::node::fleet::Fleet;
use crate::node::keys::election::CpuCapacity;
use crate::node::keys::table_health::TableHealth;
use crate::node::keys::view::KeyView;
use crate::node::limit::LimitState;
use crate::node::list_schedule::ListSchedule;
use crate::node::log::Log;
use crate::node::proxy::headers::HeaderNames;
use crate::node::proxy::pool::Pool;
use crate::node::queues::Queues;
use crate::node::reach::Reach;
use crate::node::relays::Relays;
use crate::node::retry_budget::RetryBudget;
use crate::node::retry_budget::RetryBudgetLimits;
use crate::node::rules::Router;
use crate::node::rules::Rules;
use crate::platform::Generation;
use crate::route::CrashTracker;

/// Fraction of a target's connection limit that the nodes use together. The rest is for health
/// checks and for nodes that have joined but are not counted yet.
const CONNECTION_FRACTION: f64 = 0.8;

/// Share of the descriptors that callers and other nodes may use; the rest is for targets and the platform.
const CALLER_SOCKET_SHARE: f64 = 0.5;
/// Memory for each connection of a caller or another node, in bytes: its task, its read buffer and the
/// head of its request.
const CALLER_MEMORY_BYTES: u64 = 64 << 10;
/// How long a caller's connection has waited at least before it is closed in favour of a new one. The
/// rest of a head arrives within milliseconds, or a few hundred if a packet is lost.
const MIN_CALLER_WAIT: Duration = Duration::from_millis(500);

/// Returns the maximum number of connections of callers and of other nodes.
fn max_callers(conf: &NodeConf) -> usize {
    let by_sockets = (conf.max_sockets as f64 * CALLER_SOCKET_SHARE) as usize;
    by_sockets.min((conf.memory_bytes / CALLER_MEMORY_BYTES) as usize)
}

/// The part of the configuration that can be reloaded while the node runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReloadableConf {
    /// Limits of the retry budget, for all nodes together.
    pub retry_budget: RetryBudgetLimits,
    /// Maximum time from the stop signal to the forced exit.
    pub shutdown_grace: Duration,
}

/// By how much the requests that a cold target gets in one second may exceed its rate:
/// `rate * factor + slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdExcess {
    /// Factor on the rate; at least 1.
    pub factor: f64,
    /// Requests in addition.
    pub slack: f64,
}

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct NodeConf {
    /// Name of the node.
    pub name: VmId,
    /// Data centre in which the node runs.
    pub data_centre: DataCentre,
    /// Whether the whole system is starting for the first time.
    pub first_start: bool,
    /// CPU capacity of the node.
    pub cpu_capacity: CpuCapacity,
    /// Names of the header fields agreed with callers and targets.
    pub headers: HeaderNames,
    /// Settings that may change while the node runs.
    pub reloadable: ReloadableConf,
    /// Longest grant of keys that targets accept.
    pub max_grant: Duration,
    /// How long after the end of a target its address is not given to another one.
    pub reuse_after: Duration,
    /// How long after the acknowledgement of an evacuation targets of that data centre may still get
    /// requests; `None` if the platform states no bound.
    pub evacuation_time: Option<Duration>,
    /// By how much requests to cold targets may exceed their rate.
    pub cold_excess: ColdExcess,
    /// Maximum number of open sockets of the process.
    pub max_sockets: usize,
    /// Maximum memory of the process, in bytes.
    pub memory_bytes: u64,
}

/// Stages of a graceful shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// Normal operation; no shutdown.
    Serving,
    /// The node reports that it is not ready, but still serves new connections.
    Leaving,
    /// New connections are not accepted and idle ones are closed.
    Closing,
    /// Requests that are still running are aborted.
    Ended,
}

/// The state of a node.
#[derive(Debug)]
pub struct State {
    /// The configuration with which the node was started.
    pub conf: NodeConf,
    /// The reloadable settings in force.
    reloadable: Cell<ReloadableConf>,
    /// The clock for leases and identities.
    pub boot_clock: BootClock,
    /// Random id of this process.
    pub boot: BootId,
    /// The rules in force; `None` until the first read.
    router: RefCell<Option<Rc<Router>>>,
    /// The list of targets.
    pub fleet: RefCell<Fleet>,
    /// Schedules reads of the list of targets.
    pub list_schedule: RefCell<ListSchedule>,
    /// The newest generation of the table's data that this node or another one has seen.
    pub generation: Cell<Generation>,
    /// Whether this node polls the platform for rules and targets for its data centre.
    pub is_reader: Cell<bool>,
    /// Notified when the time of the next read of rules or targets may have changed.
    pub list_check: Notify,
    /// The data centres that the operators have evacuated.
    pub evacuations: RefCell<Evacuations>,
    /// Idle connections to targets.
    pub pool: Pool,
    /// Known owners of keys, by service.
    pub views: RefCell<BTreeMap<ServiceId, KeyView>>,
    /// Requests per key since the last report to the leader, by service.
    pub key_requests: RefCell<BTreeMap<ServiceId, BTreeMap<u16, u16>>>,
    /// Fingerprints of requests that crashed targets.
    pub(crate) crashes: CrashTracker,
    /// The bytes that callers, targets and other nodes make the process hold.
    pub memory: Account,
    /// Notified when bodies that are being read may have been refused in favour of others.
    pub memory_short: Notify,
    /// Notified when a body that was refused has given its bytes back.
    pub memory_freed: Notify,
    /// Open connections of callers and of other nodes.
    pub connections: Rc<Connections>,
    /// Requests that wait for slots.
    pub queues: Queues,
    /// Notified when a waiting request may be routable: keys have an owner, or targets have changed.
    pub routing_changed: Notify,
    /// Current stage of the graceful shutdown.
    stage: Cell<ShutdownStage>,
    /// When requests that are still running are aborted in the graceful shutdown.
    abort_at: Cell<Option<Instant>>,
    /// Notified when `stage` changes.
    pub stage_changed: Notify,
    /// Number of serving nodes, including this one.
    pub nodes: Cell<usize>,
    /// Number of data centres with serving nodes, including this one's.
    pub data_centres: Cell<usize>,
    /// Whether the platform's table store responds to this node.
    pub table_health: RefCell<TableHealth>,
    /// Number of open connections from callers.
    pub callers: Cell<usize>,
    /// Number of requests in progress.
    pub in_flight: Cell<usize>,
    /// Whether this node reaches targets.
    pub reach: Reach,
    /// The nodes that pass requests on while this node reaches no target.
    pub relays: Relays,
    /// Permits to send requests to targets that have named a limit.
    pub limits: LimitState,
    /// Metrics for operators.
    pub counters: Counters,
    /// The log of this process.
    pub log: Log,
    retry_budgets: RefCell<BTreeMap<ServiceId, RetryBudget>>,
}

impl State {
    /// Creates the state of a node that has no rules or targets yet.
    pub fn new(conf: NodeConf, log: Log) -> Self {
        Self {
            reloadable: Cell::new(conf.reloadable),
            boot_clock: BootClock::new(),
            boot: BootId(rand::random()),
            router: RefCell::default(),
            fleet: RefCell::default(),
            list_schedule: RefCell::new(ListSchedule::new(Instant::now())),
            generation: Cell::default(),
            is_reader: Cell::new(false),
            list_check: Notify::new(),
            evacuations: RefCell::new(Evacuations::new(conf.evacuation_time)),
            pool: Pool::default(),
            views: RefCell::default(),
            key_requests: RefCell::default(),
            crashes: CrashTracker::default(),
            memory: Account::new(conf.memory_bytes),
            memory_short: Notify::new(),
            memory_freed: Notify::new(),
            connections: Rc::new(Connections::new(max_callers(&conf), MIN_CALLER_WAIT)),
            conf,
            queues: Queues::default(),
            routing_changed: Notify::new(),
            stage: Cell::new(ShutdownStage::Serving),
            abort_at: Cell::new(None),
            stage_changed: Notify::new(),
            nodes: Cell::new(1),
            data_centres: Cell::new(1),
            table_health: RefCell::default(),
            callers: Cell::new(0),
            in_flight: Cell::new(0),
            reach: Reach::default(),
            relays: Relays::default(),
            limits: LimitState::default(),
            counters: Counters::default(),
            log,
            retry_budgets: RefCell::default(),
        }
    }

    /// Returns the reloadable settings in force.
    pub fn reloadable(&self) -> ReloadableConf {
        self.reloadable.get()
    }

    /// Applies reloaded settings; returns true if they differ from those in force.
    pub fn reload(&self, reloadable: ReloadableConf) -> bool {
        if self.reloadable.replace(reloadable) == reloadable {
            return false;
        }
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let each = retry_budgets.values_mut();
        each.for_each(|budget| budget.set_limits(reloadable.retry_budget));
        true
    }

    /// Returns the current stage of the graceful shutdown.
    pub fn stage(&self) -> ShutdownStage {
        self.stage.get()
    }

    /// Advances to a stage of the graceful shutdown; never returns to an earlier one.
    pub fn advance_to(&self, stage: ShutdownStage) {
        self.stage.set(self.stage.get().max(stage));
        self.stage_changed.notify_waiters();
    }

    /// Sets when requests that are still running are aborted.
    pub fn set_abort_time(&self, at: Instant) {
        self.abort_at.set(Some(at));
    }

    /// Returns true if a request that arrives now and may take until `deadline` would be aborted: one
    /// that arrived while the node accepted connections has most of the grace period left.
    pub fn would_abort(&self, deadline: Instant) -> bool {
        let aborts = self.abort_at.get().is_some_and(|at| deadline > at);
        aborts && self.stage() >= ShutdownStage::Closing
    }

    /// Returns the router for the rules in force, or `None` if no rules have been read.
    pub fn router(&self) -> Option<Rc<Router>> {
        self.router.borrow().clone()
    }

    /// Returns the version of the rules in force, or 0 without rules.
    pub fn rules_version(&self) -> u64 {
        let router = self.router.borrow();
        router.as_ref().map_or(0, |router| router.rules().version)
    }

    /// Puts rules in force and returns true, unless their version is not newer.
    pub fn put_in_force(&self, rules: Rules) -> bool {
        if self.rules_version() >= rules.version {
            return false;
        }
        *self.router.borrow_mut() = Some(Rc::new(Router::new(rules)));
        self.routing_changed.notify_waiters();
        true
    }

    /// Returns true if the node can route requests and is not shutting down.
    pub fn is_ready(&self) -> bool {
        let is_loaded = self.router.borrow().is_some() && self.fleet.borrow().is_loaded();
        is_loaded && self.stage.get() == ShutdownStage::Serving
    }

    /// Counts the first send of a request in the service's retry budget.
    pub fn record_first_send(&self, service: &ServiceId, now: Instant) {
        self.with_retry_budget(service, |budget| budget.record_first_send(now));
    }

    /// Counts a retry and returns true if the service's retry budget permits it.
    pub fn try_retry(&self, service: &ServiceId, now: Instant) -> bool {
        let nodes = self.nodes.get();
        self.with_retry_budget(service, |budget| budget.try_retry(nodes, now))
    }

    /// Returns this node's share of the connections to one target of a service, at least 1.
    pub fn max_connections(&self, service: &ServiceId) -> u32 {
        let router = self.router.borrow();
        let rule = router
            .as_ref()
            .and_then(|router| router.rules().services.get(service));
        let all = rule.map_or(u32::MAX, |rule| rule.max_connections);
        let share = f64::from(all) * CONNECTION_FRACTION / self.nodes.get().max(1) as f64;
        (share as u32).max(1)
    }

    /// Returns the path at which the targets of a service name themselves; `None` if the rules in force
    /// do not contain the service.
    pub fn identity_path(&self, service: &ServiceId) -> Option<String> {
        let router = self.router.borrow();
        let rule = router
            .as_ref()
            .and_then(|router| router.rules().services.get(service));
        rule.map(|rule| rule.identity_path.clone())
    }

    /// Counts a request for a key in the load report.
    pub fn count_key(&self, service: &ServiceId, key: u16) {
        let mut requests = self.key_requests.borrow_mut();
        let counts = match requests.get_mut(service) {
            Some(counts) => counts,
            None => requests.entry(service.clone()).or_default(),
        };
        let count = counts.entry(key).or_insert(0);
        *count = count.saturating_add(1);
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceId,
        operation: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        if let Some(budget) = retry_budgets.get_mut(service) {
            return operation(budget);
        }
        let fresh = RetryBudget::new(self.reloadable().retry_budget);
        operation(retry_budgets.entry(service.clone()).or_insert(fresh))
    }
}

/// A clock that continues while the machine is suspended, unlike `Instant::now`.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Instant,
    boot_at_start: Duration,
}

impl BootClock {
    /// Creates a clock that agrees with `Instant::now` at this moment.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            boot_at_start: boot_time(),
        }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.start + boot_time().saturating_sub(self.boot_at_start)
    }
}

fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
