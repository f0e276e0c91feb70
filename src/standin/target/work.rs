//! What a target does with a request: slots, grants, working time, effect.

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

/// What a target is.
#[derive(Clone, Debug)]
pub struct Conf {
    /// The name that answers carry.
    pub name: String,
    /// Requests that run at a time.
    pub slots: usize,
    /// Whether orders of an older term are refused.
    pub checks_term: bool,
    /// Working time of a request.
    pub work: Duration,
    /// How long after the start a request takes `COLD_FACTOR` times as long.
    pub cold: Duration,
}

/// How a target behaves; set by `POST /behaviour`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// New work is refused.
    pub draining: bool,
    /// Working time added to every request, in milliseconds.
    pub slow_ms: u64,
    /// The health endpoint says the opposite.
    pub lies_on_health: bool,
    /// What the load endpoint says instead of the truth.
    pub false_load: Option<u32>,
    /// Keyed requests and orders get no answer.
    pub silent: bool,
}

const COLD_FACTOR: u32 = 5;

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

/// Where a keyed request belongs, as its headers say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keyed {
    /// The group.
    pub group: GroupId,
    /// The shard and its fence.
    pub at: ShardFence,
}

/// A request that holds a slot; dropping it frees the slot.
#[derive(Debug)]
pub struct Running {
    target: Arc<Target>,
    keyed: Option<Keyed>,
}

impl Target {
    /// Starts a target; `now` is the zero of its stamps.
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

    /// Returns what the target ran.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// Returns how the target behaves.
    pub fn behaviour(&self) -> Behaviour {
        self.lock().behaviour.clone()
    }

    /// Sets how the target behaves.
    pub fn behave(&self, behaviour: Behaviour) {
        self.lock().behaviour = behaviour;
    }

    /// Returns the number of requests running.
    pub fn running(&self) -> usize {
        self.lock().running
    }

    /// Takes an order; shards whose work is still running are confirmed by a later order.
    pub fn order(&self, now: Instant, order: &Order) -> OrderReply {
        let mut state = self.lock();
        for at in &order.release {
            let floor = state.releasing.entry((order.group.clone(), at.shard));
            let floor = floor.or_default();
            *floor = at.fence.max(*floor);
        }
        let mut ready = order.clone();
        let busy = |at: &ShardFence| {
            let place = (order.group.clone(), at.shard);
            state.running_shards.contains_key(&place)
        };
        ready.release.retain(|at| !busy(at));
        state.grants.apply(now, &ready)
    }

    /// Gives a request a slot; `None` when it is refused, not run.
    pub fn start(self: &Arc<Self>, now: Instant, keyed: Option<Keyed>) -> Option<Running> {
        let mut state = self.lock();
        if state.behaviour.draining || state.running >= self.conf.slots {
            return None;
        }
        if let Some(keyed) = &keyed {
            state.may_run(now, keyed).then_some(())?;
            let place = (keyed.group.clone(), keyed.at.shard);
            *state.running_shards.entry(place).or_default() += 1;
        }
        state.running += 1;
        let target = self.clone();
        Some(Running { target, keyed })
    }

    /// Returns how long a request works.
    pub fn work_time(&self, now: Instant, asked: Option<Duration>) -> Duration {
        let slow = Duration::from_millis(self.behaviour().slow_ms);
        let work = asked.unwrap_or(self.conf.work);
        match now.saturating_duration_since(self.started) < self.conf.cold {
            true => work * COLD_FACTOR + slow,
            false => work + slow,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Running {
    /// Takes effect: records the work unless the grant is gone; returns whether it took effect.
    pub fn finish(&self, now: Instant, booking: Option<&str>) -> bool {
        let mut state = self.target.lock();
        if let Some(keyed) = &self.keyed {
            if state.grants.check(now, &keyed.group, keyed.at).is_err() {
                return false;
            }
            state.ledger.take_effect(&keyed.group, keyed.at);
        }
        if let Some(id) = booking {
            state.ledger.book(id);
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
        let place = (keyed.group.clone(), keyed.at.shard);
        let Some(count) = state.running_shards.get_mut(&place) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            state.running_shards.remove(&place);
        }
    }
}

impl State {
    fn may_run(&mut self, now: Instant, keyed: &Keyed) -> bool {
        let place = (keyed.group.clone(), keyed.at.shard);
        let releasing = self.releasing.get(&place);
        if releasing.is_some_and(|fence| keyed.at.fence <= *fence) {
            return false;
        }
        self.grants.check(now, &keyed.group, keyed.at).is_ok()
    }
}
