//! The routing table: a view compiled for fast lookups, with indices instead of names.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::ids::DataCentre;
use crate::ids::Fence;
use crate::ids::GroupId;
use crate::ids::ServiceId;
use crate::ids::Shard;
use crate::ids::TargetId;
use crate::ids::Version;
use crate::ids::key_hash;
use crate::owner::assignment::Assignment;
use crate::owner::order::ShardFence;
use crate::route::key_counts::KeyCounts;
use crate::route::prefix::Prefixes;
use crate::route::queue::WaitQueue;
use crate::route::retry_budget::RetryBudget;
use crate::route::share::EntryRank;
use crate::route::stats::TargetStats;
use crate::route::stats::update_average;
use crate::ticket::Keying;
use crate::ticket::Service;
use crate::ticket::Target;
use crate::ticket::TargetState;
use crate::view::View;

/// Number of queues for calls that wait for a shard's owner; shards share them by number.
const SHARD_QUEUES: usize = 64;
const NO_OWNER: u32 = u32::MAX;

/// The data that a routing decision reads, replaced as a whole on every change.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pub(crate) view: Arc<View>,
    pub(crate) prefixes: Prefixes,
    pub(crate) services: HashMap<ServiceId, Arc<ServiceRoute>>,
    pub(crate) stats: HashMap<(ServiceId, TargetId), Arc<TargetStats>>,
}

/// The part of the table for one service.
#[derive(Debug)]
pub(crate) struct ServiceRoute {
    pub(crate) id: ServiceId,
    pub(crate) service: Service,
    pub(crate) targets: Vec<TargetRoute>,
    /// Indices of the serving targets in the entry's data centre to which it may open connections.
    pub(crate) local: Vec<u32>,
    /// Indices of such targets in other data centres.
    pub(crate) remote: Vec<u32>,
    pub(crate) shared: Arc<ServiceShared>,
    groups: Vec<Arc<GroupRoute>>,
}

/// The part of the table for one target.
#[derive(Debug)]
pub(crate) struct TargetRoute {
    pub(crate) id: TargetId,
    pub(crate) target: Target,
    /// The number of connections that this entry may open.
    pub(crate) share: u32,
    pub(crate) stats: Arc<TargetStats>,
}

/// State of one service that is kept when the table is replaced.
#[derive(Debug)]
pub(crate) struct ServiceShared {
    /// The unkeyed calls that wait for a slot.
    pub(crate) queue: Arc<WaitQueue>,
    /// The keyed calls that wait for an owner of their shard that accepts them.
    shard_queues: [Arc<WaitQueue>; SHARD_QUEUES],
    pub(crate) counts: KeyCounts,
    pub(crate) retry_budget: RetryBudget,
    /// The moving average of the response time, in microseconds.
    pub(crate) latency: AtomicU64,
    /// The moving average of the time between two departures while the queue is not empty, in
    /// microseconds.
    pub(crate) departure_interval: AtomicU64,
    /// When the last call left the queue, in microseconds since the router's epoch; 0 once the
    /// queue is empty.
    last_departure: AtomicU64,
}

impl Default for ServiceShared {
    fn default() -> Self {
        Self {
            queue: Arc::default(),
            shard_queues: std::array::from_fn(|_| Arc::default()),
            counts: KeyCounts::default(),
            retry_budget: RetryBudget::default(),
            latency: AtomicU64::new(0),
            departure_interval: AtomicU64::new(0),
            last_departure: AtomicU64::new(0),
        }
    }
}

impl ServiceShared {
    /// Returns the queue of the calls that wait for a shard's owner.
    pub(crate) fn shard_queue(&self, shard: Shard) -> &Arc<WaitQueue> {
        &self.shard_queues[shard.0 as usize % SHARD_QUEUES]
    }

    /// Records that the first call leaves the queue because it is sent to a target.
    pub(crate) fn record_departure(&self, now: u64) {
        let before = self.last_departure.swap(now, Ordering::Relaxed);
        if before > 0 {
            update_average(&self.departure_interval, now.saturating_sub(before));
        }
        if self.queue.len() <= 1 {
            self.last_departure.store(0, Ordering::Relaxed);
        }
    }

    /// Wakes every waiting call.
    pub(crate) fn wake_all(&self) {
        self.queue.wake_all();
        self.shard_queues.iter().for_each(|queue| queue.wake_all());
    }
}

/// The owners of the shards of one group.
#[derive(Debug)]
struct GroupRoute {
    version: Version,
    first: u32,
    owners: Vec<u32>,
    fences: Vec<Fence>,
    hot: HashMap<u64, HotRoute>,
}

#[derive(Clone, Copy, Debug)]
struct HotRoute {
    at: ShardFence,
    owner: u32,
}

/// The shard, fencing token and owner of a key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyRoute<'a> {
    pub(crate) at: ShardFence,
    /// The owner; `None` while no target may serve the shard.
    pub(crate) owner: Option<&'a TargetRoute>,
}

impl Table {
    /// Compiles a view, keeping the statistics and queues of the old table.
    pub(crate) fn compile(
        view: Arc<View>,
        old: &Self,
        rank: EntryRank,
        data_centre: &DataCentre,
    ) -> Self {
        let mut table = Self {
            view,
            ..Self::default()
        };
        let view = table.view.clone();
        for (id, service) in &view.state.services {
            let before = old.services.get(id);
            let route = ServiceRoute::compile(id, service, &view, before, rank, data_centre);
            for target in &route.targets {
                let name = (id.clone(), target.id.clone());
                table.stats.insert(name, target.stats.clone());
            }
            table.services.insert(id.clone(), Arc::new(route));
        }
        let prefixes = view.state.services.iter();
        table.prefixes = Prefixes::new(prefixes.map(|(id, s)| (s.prefix.as_str(), id)));
        table
    }
}

impl ServiceRoute {
    fn compile(
        id: &ServiceId,
        service: &Service,
        view: &View,
        old: Option<&Arc<Self>>,
        rank: EntryRank,
        data_centre: &DataCentre,
    ) -> Self {
        let targets = compile_targets(service, old, rank);
        let open = |t: &TargetRoute| t.share > 0 && t.target.state == TargetState::Serving;
        let list = |local: bool| {
            let fits = |t: &TargetRoute| open(t) && (t.target.data_centre == *data_centre) == local;
            let mut indices: Vec<u32> = (0..targets.len() as u32)
                .filter(|&i| fits(&targets[i as usize]))
                .collect();
            indices.sort_by_key(|&i| salted(name_hash(&targets[i as usize].id), rank.rank));
            indices
        };
        let (local, remote) = (list(true), list(false));
        let same = |old: &&Arc<Self>| {
            old.service.targets == service.targets && old.service.keying == service.keying
        };
        let kept = old.filter(same);
        Self {
            id: id.clone(),
            service: service.clone(),
            local,
            remote,
            shared: old.map(|old| old.shared.clone()).unwrap_or_default(),
            groups: compile_groups(id, service, view, &targets, kept),
            targets,
        }
    }

    /// Returns true if one more target may be ejected, so that at least half of them remain.
    pub(crate) fn may_eject(&self, now: u64) -> bool {
        let open = || self.local.iter().chain(&self.remote);
        let ejected = open()
            .filter(|&&i| self.targets[i as usize].stats.is_ejected(now))
            .count();
        (ejected + 1) * 2 <= open().count()
    }

    /// Returns the shard and owner of a key; `None` for an unkeyed service.
    pub(crate) fn key_route(&self, hash: u64) -> Option<KeyRoute<'_>> {
        let keying = self.service.keying.as_ref()?;
        let shard = keying.shard_of(hash);
        let group = self.groups.get(usize::from(keying.group_of(shard)));
        let Some(group) = group else {
            return Some(KeyRoute::unowned(shard));
        };
        if let Some(hot) = group.hot.get(&hash) {
            let owner = self.targets.get(hot.owner as usize);
            return Some(KeyRoute { at: hot.at, owner });
        }
        let index = shard.0.wrapping_sub(group.first) as usize;
        let Some(&fence) = group.fences.get(index) else {
            return Some(KeyRoute::unowned(shard));
        };
        Some(KeyRoute {
            at: ShardFence { shard, fence },
            owner: self.targets.get(group.owners[index] as usize),
        })
    }
}

impl KeyRoute<'_> {
    fn unowned(shard: Shard) -> Self {
        let fence = Fence(0);
        Self {
            at: ShardFence { shard, fence },
            owner: None,
        }
    }
}

impl GroupRoute {
    fn compile(group: &Assignment, keying: &Keying, index: u16, targets: &[TargetRoute]) -> Self {
        let numbers: HashMap<&TargetId, u32> = targets.iter().map(|t| &t.id).zip(0..).collect();
        let range = shard_range(keying, index);
        let mut owners = vec![NO_OWNER; range.len()];
        let mut fences = vec![Fence(0); range.len()];
        let number = |target: Option<&TargetId>| {
            let found = target.and_then(|name| numbers.get(name));
            found.copied().unwrap_or(NO_OWNER)
        };
        for (shard, owner) in group.owners.range(Shard(range.start)..Shard(range.end)) {
            let at = (shard.0 - range.start) as usize;
            owners[at] = number(owner.target.as_ref());
            fences[at] = owner.fence;
        }
        let hot = group.hot_keys.iter().filter_map(|(hash, &shard)| {
            let owner = group.owners.get(&shard)?;
            let fence = owner.fence;
            let at = ShardFence { shard, fence };
            let owner = number(owner.target.as_ref());
            Some((*hash, HotRoute { at, owner }))
        });
        Self {
            version: group.version,
            first: range.start,
            owners,
            fences,
            hot: hot.collect(),
        }
    }
}

fn compile_targets(
    service: &Service,
    old: Option<&Arc<ServiceRoute>>,
    rank: EntryRank,
) -> Vec<TargetRoute> {
    let mut known: HashMap<&TargetId, &TargetRoute> = HashMap::new();
    if let Some(old) = old {
        known.extend(old.targets.iter().map(|t| (&t.id, t)));
    }
    let compile = |(id, target): (&TargetId, &Target)| {
        let same = known.get(id).filter(|t| t.target.address == target.address);
        let new_stats = || Arc::new(TargetStats::new(!known.is_empty()));
        TargetRoute {
            id: id.clone(),
            target: target.clone(),
            share: rank.connection_share(target.connections, name_hash(id)),
            stats: same.map_or_else(new_stats, |t| t.stats.clone()),
        }
    };
    service.targets.iter().map(compile).collect()
}

fn compile_groups(
    id: &ServiceId,
    service: &Service,
    view: &View,
    targets: &[TargetRoute],
    old: Option<&Arc<ServiceRoute>>,
) -> Vec<Arc<GroupRoute>> {
    let Some(keying) = &service.keying else {
        return Vec::new();
    };
    let compile = |index: u16| {
        let service = id.clone();
        let empty = Assignment::empty(GroupId { service, index });
        let group = view.groups.get(&empty.group).map_or(&empty, Arc::as_ref);
        let kept = old
            .and_then(|old| old.groups.get(usize::from(index)))
            .filter(|kept| kept.version == group.version)
            .cloned();
        kept.unwrap_or_else(|| Arc::new(GroupRoute::compile(group, keying, index, targets)))
    };
    (0..keying.groups).map(compile).collect()
}

/// Returns the range of shards that belong to a group: the inverse of [`Keying::group_of`].
fn shard_range(keying: &Keying, index: u16) -> std::ops::Range<u32> {
    let groups = u64::from(keying.groups.max(1));
    let shards = u64::from(keying.shards);
    let first = |index: u64| (index * shards).div_ceil(groups) as u32;
    first(u64::from(index))..first(u64::from(index) + 1)
}

/// Returns a hash of a target's name that is the same on every entry.
pub(crate) fn name_hash(id: &TargetId) -> u64 {
    key_hash(id.as_str().as_bytes())
}

fn salted(hash: u64, salt: u32) -> u64 {
    (hash ^ u64::from(salt)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
