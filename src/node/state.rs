//! What one node knows, shared by its traffic and its control tasks. All of it runs on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::clock::Clock;
use crate::ids::BootId;
use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::ids::VmId;
use crate::node::counters::Counters;
use crate::node::fleet::Fleet;
use crate::node::keys::election::CpuCapacity;
use crate::node::keys::table_health::TableHealth;
use crate::node::keys::view::KeyView;
use crate::node::list_schedule::ListSchedule;
use crate::node::log::Log;
use crate::node::proxy::headers::HeaderNames;
use crate::node::proxy::pool::Pool;
use crate::node::retry_budget::RetryBudget;
use crate::node::retry_budget::RetryBudgetLimits;
use crate::node::rules::Router;
use crate::node::rules::Rules;
use crate::route::Crashes;

/// Part of a target's connections that the nodes use together; the rest is for health checks and
/// for nodes that are counted late.
const CONNECTION_PART: f64 = 0.8;

/// What a node is told at its start, and again while it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReloadableConf {
    /// The bound on repeats.
    pub retry_budget: RetryBudgetLimits,
    /// The time from the signal to stop to the forced end.
    pub shutdown_grace: Duration,
}

/// What a node is told at its start.
#[derive(Clone, Debug)]
pub struct NodeConf {
    /// The node's name.
    pub name: VmId,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Its processing power.
    pub strength: CpuCapacity,
    /// Header fields that it shares with callers and targets.
    pub headers: HeaderNames,
    /// What may change while the node runs.
    pub reloadable: ReloadableConf,
    /// The longest hold that targets accept.
    pub max_grant: Duration,
    /// Descriptors that the process may have open for sockets.
    pub max_sockets: usize,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
}

/// How far a graceful shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Callers are served.
    Serving,
    /// The node says that it is not ready; callers that still come are served.
    Leaving,
    /// No new connections are taken and idle ones are closed.
    Closing,
    /// What still runs is cut.
    Ended,
}

/// The state of a node.
#[derive(Debug)]
pub struct State {
    /// What the node was told.
    pub conf: NodeConf,
    /// The reloadable in force.
    reloadable: Cell<ReloadableConf>,
    /// The process.
    pub boot: BootId,
    /// The rules in force.
    router: RefCell<Option<Rc<Router>>>,
    /// The targets.
    pub fleet: RefCell<Fleet>,
    /// When the targets are read next.
    pub list_schedule: RefCell<ListSchedule>,
    /// Whether this node reads for its data centre.
    pub is_reader: Cell<bool>,
    /// Rung when the targets may have to be read.
    pub list_check: Notify,
    /// Idle connections to targets.
    pub pool: Pool,
    /// Owners of keys by service.
    pub views: RefCell<BTreeMap<ServiceId, KeyView>>,
    /// Requests by key since the last report.
    pub key_requests: RefCell<BTreeMap<ServiceId, BTreeMap<u16, u16>>>,
    /// Requests that crash targets.
    pub(crate) crashes: Crashes,
    /// Rung when a request may have become possible: a slot is free, or keys have an owner.
    pub routing_changed: Notify,
    /// How far a graceful shutdown has come.
    stage: Cell<Stage>,
    /// Rung when the stage changed.
    pub stage_changed: Notify,
    /// Nodes that serve, this one included.
    pub nodes: Cell<usize>,
    /// Data centres with nodes, this one included.
    pub data_centres: Cell<usize>,
    /// Whether the platform's table answers this node.
    pub table_health: RefCell<TableHealth>,
    /// Callers' connections that are open.
    pub callers: Cell<usize>,
    /// Requests that are being served.
    pub in_flight: Cell<usize>,
    /// Counts for operators.
    pub counters: Counters,
    /// The log.
    pub log: Log,
    retry_budgets: RefCell<BTreeMap<ServiceId, RetryBudget>>,
}

impl State {
    /// Starts without rules or targets.
    pub fn new(conf: NodeConf, log: Log) -> Self {
        Self {
            reloadable: Cell::new(conf.reloadable),
            conf,
            boot: BootId(rand::random()),
            router: RefCell::default(),
            fleet: RefCell::default(),
            list_schedule: RefCell::new(ListSchedule::new(Instant::now())),
            is_reader: Cell::new(true),
            list_check: Notify::new(),
            pool: Pool::default(),
            views: RefCell::default(),
            key_requests: RefCell::default(),
            crashes: Crashes::default(),
            routing_changed: Notify::new(),
            stage: Cell::new(Stage::Serving),
            stage_changed: Notify::new(),
            nodes: Cell::new(1),
            data_centres: Cell::new(1),
            table_health: RefCell::default(),
            callers: Cell::new(0),
            in_flight: Cell::new(0),
            counters: Counters::default(),
            log,
            retry_budgets: RefCell::default(),
        }
    }

    /// Returns the reloadable in force.
    pub fn reloadable(&self) -> ReloadableConf {
        self.reloadable.get()
    }

    /// Puts other reloadable in force; returns whether they differ.
    pub fn reload(&self, reloadable: ReloadableConf) -> bool {
        if self.reloadable.replace(reloadable) == reloadable {
            return false;
        }
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let each = retry_budgets.values_mut();
        each.for_each(|budget| budget.set_limits(reloadable.retry_budget));
        true
    }

    /// Returns the stage of the graceful shutdown.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Goes on to a later stage of the graceful shutdown.
    pub fn advance_to(&self, stage: Stage) {
        self.stage.set(self.stage.get().max(stage));
        self.stage_changed.notify_waiters();
    }

    /// Returns the rules in force.
    pub fn router(&self) -> Option<Rc<Router>> {
        self.router.borrow().clone()
    }

    /// Returns the version in force; 0 when there is none.
    pub fn rules_version(&self) -> u64 {
        let router = self.router.borrow();
        router.as_ref().map_or(0, |router| router.rules().version)
    }

    /// Puts rules in force, unless they are older than those that are.
    pub fn put_in_force(&self, rules: Rules) -> bool {
        if self.rules_version() >= rules.version {
            return false;
        }
        *self.router.borrow_mut() = Some(Rc::new(Router::new(rules)));
        self.routing_changed.notify_waiters();
        true
    }

    /// Returns whether the node can route requests.
    pub fn is_ready(&self) -> bool {
        let equipped = self.router.borrow().is_some() && self.fleet.borrow().is_loaded();
        equipped && self.stage.get() == Stage::Serving
    }

    /// Counts the first send of a request.
    pub fn record_first_send(&self, service: &ServiceId, now: Instant) {
        self.with_retry_budget(service, |budget| budget.record_first_send(now));
    }

    /// Takes leave to send a request again.
    pub fn try_retry(&self, service: &ServiceId, now: Instant) -> bool {
        let nodes = self.nodes.get();
        self.with_retry_budget(service, |budget| budget.try_retry(nodes, now))
    }

    /// Returns how many connections this node may have to one target of a service.
    pub fn max_connections(&self, service: &ServiceId) -> u32 {
        let router = self.router.borrow();
        let rule = router
            .as_ref()
            .and_then(|router| router.rules().services.get(service));
        let all = rule.map_or(u32::MAX, |rule| rule.max_connections);
        let share = f64::from(all) * CONNECTION_PART / self.nodes.get().max(1) as f64;
        (share as u32).max(1)
    }

    /// Counts a request for a key.
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
        work: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        if let Some(budget) = retry_budgets.get_mut(service) {
            return work(budget);
        }
        let fresh = RetryBudget::new(self.reloadable().retry_budget);
        work(retry_budgets.entry(service.clone()).or_insert(fresh))
    }
}

/// A clock that also counts the time in which the machine was suspended.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Instant,
    boot_at_start: Duration,
}

impl BootClock {
    /// Starts the clock.
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
