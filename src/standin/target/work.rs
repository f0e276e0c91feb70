//! Runs requests on a target: slots, grants, working time and recorded effects.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::BootId;
use crate::ids::Fence;
use crate::ids::GroupId;
use crate::ids::Shard;
use crate::owner::grants::Grants;
use crate::owner::order::Order;
use crate::owner::order::OrderReply;
use crate::owner::order::ShardFence;
use crate::standin::target::Ledger;

/// The fixed configuration of a target.
#[derive(Clone, Debug)]
pub struct Conf {
    /// The target's name, included in its responses.
    pub name: String,
    /// The maximum number of requests that run at the same time.
    pub slots: usize,
    /// True if orders of an older term are refused.
    pub checks_term: bool,
    /// Default working time of a request.
    pub work: Duration,
    /// Duration of the warm-up after the start, in which requests take `WARM_UP_FACTOR` times as
    /// long.
    pub warm_up: Duration,
}

/// Faults and load of a target, set by `POST /behaviour`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// New requests are refused.
    pub draining: bool,
    /// Working time added to every request, in milliseconds.
    pub slow_ms: u64,
    /// The health endpoint reports the opposite of the true state.
    pub lies_on_health: bool,
    /// The number of running requests that the load endpoint reports instead of the true one.
    pub false_load: Option<u32>,
    /// Orders get no response.
    pub silent: bool,
}

const WARM_UP_FACTOR: u32 = 5;

/// A running target.
#[derive(Debug)]
pub struct Target {
    pub(super) conf: Conf,
    started: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    grants: Grants,
    behaviour: Behaviour,
    ledger: Ledger,
    running: usize,
    running_shards: HashMap<(GroupId, Shard), u32>,
    releasing: HashMap<(GroupId, Shard), Fence>,
}

/// The group, shard and fence of a keyed request, from its headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keyed {
    /// The group that the request's key belongs to.
    pub group: GroupId,
    /// The shard of the key and the fence of the grant that the sender relies on.
    pub at: ShardFence,
}

/// A running request, which occupies a slot until it is dropped.
#[derive(Debug)]
pub struct Running {
    target: Arc<Target>,
    keyed: Option<Keyed>,
}

impl Target {
    /// Creates a target that starts at `now`, the origin of its time stamps.
    pub fn new(conf: Conf, boot: BootId, now: Instant) -> Self {
        let grants = Grants::new(boot, now, conf.checks_term);
        Self {
            conf,
            started: now,
            state: Mutex::new(State {
                grants,
                behaviour: Behaviour::default(),
                ledger: Ledger::default(),
                running: 0,
                running_shards: HashMap::new(),
                releasing: HashMap::new(),
            }),
        }
    }

    /// Returns the record of the requests that the target ran.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// Returns the configured behaviour.
    pub fn behaviour(&self) -> Behaviour {
        self.lock().behaviour.clone()
    }

    /// Replaces the configured behaviour.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.lock().running
    }

    /// Applies an order.
    ///
    /// Shards that still have running requests are not released yet: a later order that repeats
    /// the release does it.
    pub fn apply_order(&self, now: Instant, order: &Order) -> OrderReply {
        let mut state = self.lock();
        for at in &order.release {
            let released = state.releasing.entry((order.group.clone(), at.shard));
            let released = released.or_default();
            *released = at.fence.max(*released);
        }
        let mut ready = order.clone();
        let busy = |at: &ShardFence| {
            let key = (order.group.clone(), at.shard);
            state.running_shards.contains_key(&key)
        };
        ready.release.retain(|at| !busy(at));
        state.grants.apply(now, &ready)
    }

    /// Starts a request in a free slot, or returns `None` if it is refused and must not run.
    pub fn start(self: &Arc<Self>, now: Instant, keyed: Option<Keyed>) -> Option<Running> {
        let mut state = self.lock();
        if state.behaviour.draining || state.running >= self.conf.slots {
            return None;
        }
        if let Some(keyed) = &keyed {
            state.may_run(now, keyed).then_some(())?;
            let key = (keyed.group.clone(), keyed.at.shard);
            *state.running_shards.entry(key).or_default() += 1;
        }
        state.running += 1;
        let target = self.clone();
        Some(Running { target, keyed })
    }

    /// Returns the working time of a request that starts now; `requested` replaces the default.
    pub fn work_time(&self, now: Instant, requested: Option<Duration>) -> Duration {
        let slow = Duration::from_millis(self.behaviour().slow_ms);
        let work = requested.unwrap_or(self.conf.work);
        match now.saturating_duration_since(self.started) < self.conf.warm_up {
            true => work * WARM_UP_FACTOR + slow,
            false => work + slow,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Running {
    /// Records the request's effect, unless its grant is no longer valid. Returns true if it took
    /// effect.
    pub fn finish(&self, now: Instant, booking: Option<&str>) -> bool {
        let mut state = self.target.lock();
        if let Some(keyed) = &self.keyed {
            if state.grants.check(now, &keyed.group, keyed.at).is_err() {
                return false;
            }
            state.ledger.record_effect(&keyed.group, keyed.at);
        }
        if let Some(id) = booking {
            state.ledger.record_booking(id);
        }
        true
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.target.lock();
        state.running -= 1;
        let Some(keyed) = &self.keyed else {
            return;
        };
        let key = (keyed.group.clone(), keyed.at.shard);
        let Some(count) = state.running_shards.get_mut(&key) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            state.running_shards.remove(&key);
        }
    }
}

impl State {
    fn may_run(&mut self, now: Instant, keyed: &Keyed) -> bool {
        let key = (keyed.group.clone(), keyed.at.shard);
        let releasing = self.releasing.get(&key);
        if releasing.is_some_and(|fence| keyed.at.fence <= *fence) {
            return false;
        }
        self.grants.check(now, &keyed.group, keyed.at).is_ok()
    }
}
