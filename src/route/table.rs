//! A view compiled for fast decisions: dense indices in place of names.

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
use crate::route::budget::Budget;
use crate::route::hot::KeyCounts;
use crate::route::prefix::Prefixes;
use crate::route::queue::WaitQueue;
use crate::route::share::EntryRank;
use crate::route::stats::Stats;
use crate::route::stats::average;
use crate::ticket::Keying;
use crate::ticket::Service;
use crate::ticket::Target;
use crate::ticket::TargetState;
use crate::view::View;

/// Shards share the queues of calls on hold.
const HOLD_QUEUES: usize = 64;
const NO_OWNER: u32 = u32::MAX;

/// Everything that a routing decision reads.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pub(crate) view: Arc<View>,
    pub(crate) prefixes: Prefixes,
    pub(crate) services: HashMap<ServiceId, Arc<ServiceRoute>>,
    pub(crate) stats: HashMap<(ServiceId, TargetId), Arc<Stats>>,
}

/// One service's part of the table.
#[derive(Debug)]
pub(crate) struct ServiceRoute {
    pub(crate) id: ServiceId,
    pub(crate) service: Service,
    pub(crate) targets: Vec<TargetRoute>,
    /// Serving targets with connections for this entry in its own data centre.
    pub(crate) near: Vec<u32>,
    /// The same in other data centres.
    pub(crate) far: Vec<u32>,
    pub(crate) shared: Arc<ServiceShared>,
    groups: Vec<Arc<GroupRoute>>,
}

/// One target's part of the table.
#[derive(Debug)]
pub(crate) struct TargetRoute {
    pub(crate) id: TargetId,
    pub(crate) target: Target,
    /// Connections that this entry may hold.
    pub(crate) share: u32,
    pub(crate) stats: Arc<Stats>,
}

/// What the calls of one service share across versions of the table.
#[derive(Debug)]
pub(crate) struct ServiceShared {
    /// Unkeyed calls that wait for a slot.
    pub(crate) queue: Arc<WaitQueue>,
    /// Keyed calls that wait for their shard to have a willing owner.
    hold: [Arc<WaitQueue>; HOLD_QUEUES],
    pub(crate) counts: KeyCounts,
    pub(crate) budget: Budget,
    /// The moving average of the time to answer, in microseconds.
    pub(crate) latency: AtomicU64,
    /// The moving average of the time between two departures from a queue that never ran empty.
    pub(crate) gap: AtomicU64,
    /// When the last call left the queue, in microseconds; 0 once the queue ran empty.
    departed: AtomicU64,
}

impl Default for ServiceShared {
    fn default() -> Self {
        Self {
            queue: Arc::default(),
            hold: std::array::from_fn(|_| Arc::default()),
            counts: KeyCounts::default(),
            budget: Budget::default(),
            latency: AtomicU64::new(0),
            gap: AtomicU64::new(0),
            departed: AtomicU64::new(0),
        }
    }
}

impl ServiceShared {
    /// Returns the queue of the calls on hold for a shard.
    pub(crate) fn hold_of(&self, shard: Shard) -> &Arc<WaitQueue> {
        &self.hold[shard.0 as usize % HOLD_QUEUES]
    }

    /// Records that the first call leaves the queue for a target.
    pub(crate) fn departed(&self, now: u64) {
        let before = self.departed.swap(now, Ordering::Relaxed);
        if before > 0 {
            average(&self.gap, now.saturating_sub(before));
        }
        if self.queue.len() <= 1 {
            self.departed.store(0, Ordering::Relaxed);
        }
    }

    /// Wakes every call that waits.
    pub(crate) fn wake_all(&self) {
        self.queue.wake_all();
        self.hold.iter().for_each(|hold| hold.wake_all());
    }
}

/// The owners of one group's shards.
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

/// Where a key's requests go.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyRoute<'a> {
    pub(crate) at: ShardFence,
    /// The owner; `None` while nobody may serve the shard.
    pub(crate) owner: Option<&'a TargetRoute>,
}

impl Table {
    /// Compiles a view; what was observed under the old table is carried over.
    pub(crate) fn compile(view: Arc<View>, old: &Self, rank: EntryRank, home: &DataCentre) -> Self {
        let mut table = Self {
            view,
            ..Self::default()
        };
        let view = table.view.clone();
        for (id, service) in &view.state.services {
            let before = old.services.get(id);
            let route = ServiceRoute::compile(id, service, &view, before, rank, home);
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
        home: &DataCentre,
    ) -> Self {
        let targets = compile_targets(service, old, rank);
        let open = |t: &TargetRoute| t.share > 0 && t.target.state == TargetState::Serving;
        let pick = |near: bool| {
            let fits = |t: &TargetRoute| open(t) && (t.target.data_centre == *home) == near;
            let mut picked: Vec<u32> = (0..targets.len() as u32)
                .filter(|&i| fits(&targets[i as usize]))
                .collect();
            picked.sort_by_key(|&i| mix(name_hash(&targets[i as usize].id), rank.rank));
            picked
        };
        let (near, far) = (pick(true), pick(false));
        let same = |old: &&Arc<Self>| {
            old.service.targets == service.targets && old.service.keying == service.keying
        };
        let kept = old.filter(same);
        Self {
            id: id.clone(),
            service: service.clone(),
            near,
            far,
            shared: old.map(|old| old.shared.clone()).unwrap_or_default(),
            groups: compile_groups(id, service, view, &targets, kept),
            targets,
        }
    }

    /// Returns whether one more target may be ejected: at least half of them stay.
    pub(crate) fn may_eject(&self, now: u64) -> bool {
        let open = || self.near.iter().chain(&self.far);
        let ejected = open()
            .filter(|&&i| self.targets[i as usize].stats.is_ejected(now))
            .count();
        (ejected + 1) * 2 <= open().count()
    }

    /// Finds the shard and owner of a key; `None` for an unkeyed service.
    pub(crate) fn key_route(&self, hash: u64) -> Option<KeyRoute<'_>> {
        let keying = self.service.keying.as_ref()?;
        let shard = keying.shard_of(hash);
        let group = self.groups.get(usize::from(keying.group_of(shard)));
        let Some(group) = group else {
            return Some(KeyRoute::nobody(shard));
        };
        if let Some(hot) = group.hot.get(&hash) {
            let owner = self.targets.get(hot.owner as usize);
            return Some(KeyRoute { at: hot.at, owner });
        }
        let index = shard.0.wrapping_sub(group.first) as usize;
        let Some(&fence) = group.fences.get(index) else {
            return Some(KeyRoute::nobody(shard));
        };
        Some(KeyRoute {
            at: ShardFence { shard, fence },
            owner: self.targets.get(group.owners[index] as usize),
        })
    }
}

impl KeyRoute<'_> {
    fn nobody(shard: Shard) -> Self {
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
        let fresh = || Arc::new(Stats::new(!known.is_empty()));
        TargetRoute {
            id: id.clone(),
            target: target.clone(),
            share: rank.connection_share(target.connections, name_hash(id)),
            stats: same.map_or_else(fresh, |t| t.stats.clone()),
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

/// Returns the hashed shards of a group: the inverse of [`Keying::group_of`].
fn shard_range(keying: &Keying, index: u16) -> std::ops::Range<u32> {
    let groups = u64::from(keying.groups.max(1));
    let shards = u64::from(keying.shards);
    let first = |index: u64| (index * shards).div_ceil(groups) as u32;
    first(u64::from(index))..first(u64::from(index) + 1)
}

/// Hashes a target's name; the same on every entry.
pub(crate) fn name_hash(id: &TargetId) -> u64 {
    key_hash(id.as_str().as_bytes())
}

fn mix(hash: u64, salt: u32) -> u64 {
    (hash ^ u64::from(salt)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
