//! The state that all calls of an entry share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::task::Waker;
use std::time::Instant;

use arc_swap::ArcSwap;

use crate::ids::GroupId;
use crate::ids::ServiceId;
use crate::ids::TargetId;
use crate::owner::order::ShardFence;
use crate::route::RequestInfo;
use crate::route::Step;
use crate::ticket::Target;
use crate::ticket::TargetState;
use crate::view::View;

/// Chooses targets for an entry's calls.
#[derive(Debug, Default)]
pub struct Router {
    view: ArcSwap<View>,
    in_flight: Mutex<HashMap<SocketAddr, Arc<AtomicU32>>>,
    waiting: Arc<Mutex<Vec<Waker>>>,
}

/// A place in a target's work; dropping it gives the place back.
#[derive(Debug)]
pub struct Lane {
    /// The target's name.
    pub target: TargetId,
    /// Where to send the request.
    pub address: SocketAddr,
    /// The shard and fence to name, for a keyed service.
    pub shard: Option<ShardFence>,
    /// When to give up on this attempt.
    pub deadline: Instant,
    in_flight: Arc<AtomicU32>,
    waiting: Arc<Mutex<Vec<Waker>>>,
}

impl Drop for Lane {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        wake_all(&self.waiting);
    }
}

impl Router {
    /// Starts with a view.
    pub fn new(view: Arc<View>) -> Self {
        Self {
            view: ArcSwap::new(view),
            ..Self::default()
        }
    }

    /// Takes a newer view.
    pub fn update(&self, view: Arc<View>) {
        self.view.store(view);
        wake_all(&self.waiting);
    }

    /// Returns the view in use.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns the service that a path belongs to: the one with the longest matching prefix.
    pub fn service_of(&self, path: &str) -> Option<ServiceId> {
        let view = self.view.load();
        let fits = view
            .state
            .services
            .iter()
            .filter(|(_, s)| path.starts_with(&s.prefix));
        fits.max_by_key(|(_, s)| s.prefix.len())
            .map(|(name, _)| name.clone())
    }

    pub(crate) fn choose(&self, info: &RequestInfo, now: Instant, waker: &Waker) -> Step {
        let view = self.view.load();
        let lane = match info.key_hash {
            Some(hash) => self.owner_lane(&view, info, hash),
            None => self.least_busy_lane(&view, info),
        };
        match lane {
            Some(lane) => Step::Send(lane),
            None => {
                lock(&self.waiting).push(waker.clone());
                Step::Wait(info.deadline.max(now))
            }
        }
    }

    fn owner_lane(&self, view: &View, info: &RequestInfo, hash: u64) -> Option<Lane> {
        let service = view.state.services.get(&info.service)?;
        let keying = service.keying.as_ref()?;
        let hashed = keying.shard_of(hash);
        let group = GroupId {
            service: info.service.clone(),
            index: keying.group_of(hashed),
        };
        let group = view.groups.get(&group)?;
        let shard = group.hot_keys.get(&hash).copied().unwrap_or(hashed);
        let owner = group.owners.get(&shard)?;
        let name = owner.target.as_ref()?;
        let target = service.targets.get(name)?;
        let at = ShardFence {
            shard,
            fence: owner.fence,
        };
        Some(self.lane(name, target, Some(at), info.deadline))
    }

    fn least_busy_lane(&self, view: &View, info: &RequestInfo) -> Option<Lane> {
        let service = view.state.services.get(&info.service)?;
        let serving = service
            .targets
            .iter()
            .filter(|(_, t)| t.state == TargetState::Serving);
        let free = serving.filter(|(_, t)| self.load(t) < u32::from(t.slots));
        let (name, target) = free.min_by_key(|(_, t)| self.load(t))?;
        Some(self.lane(name, target, None, info.deadline))
    }

    fn lane(
        &self,
        name: &TargetId,
        target: &Target,
        shard: Option<ShardFence>,
        deadline: Instant,
    ) -> Lane {
        let in_flight = self.counter(target);
        in_flight.fetch_add(1, Ordering::Relaxed);
        let waiting = self.waiting.clone();
        let target_id = name.clone();
        Lane {
            target: target_id,
            address: target.address,
            shard,
            deadline,
            in_flight,
            waiting,
        }
    }

    fn load(&self, target: &Target) -> u32 {
        self.counter(target).load(Ordering::Relaxed)
    }

    fn counter(&self, target: &Target) -> Arc<AtomicU32> {
        lock(&self.in_flight)
            .entry(target.address)
            .or_default()
            .clone()
    }
}

fn wake_all(waiting: &Mutex<Vec<Waker>>) {
    let wakers = std::mem::take(&mut *lock(waiting));
    wakers.into_iter().for_each(Waker::wake);
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}
