//! Views, routers and requests for the routing tests. Tests pass the time explicitly.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Wake;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use gooseberryloft::ids::DataCentre;
use gooseberryloft::ids::Fence;
use gooseberryloft::ids::GroupId;
use gooseberryloft::ids::ServiceId;
use gooseberryloft::ids::Shard;
use gooseberryloft::ids::TargetId;
use gooseberryloft::ids::TicketNumber;
use gooseberryloft::ids::Version;
use gooseberryloft::owner::assignment::Assignment;
use gooseberryloft::owner::assignment::Owner;
use gooseberryloft::route::Call;
use gooseberryloft::route::EntryRank;
use gooseberryloft::route::RequestInfo;
use gooseberryloft::route::Router;
use gooseberryloft::route::RouterConfig;
use gooseberryloft::ticket::InForce;
use gooseberryloft::ticket::KeySource;
use gooseberryloft::ticket::Keying;
use gooseberryloft::ticket::Service;
use gooseberryloft::ticket::Target;
use gooseberryloft::ticket::TargetState;
use gooseberryloft::view::View;

/// The identifier of the unkeyed service.
pub const REPORTS: &str = "reports";
/// The identifier of the keyed service.
pub const LISTINGS: &str = "listings";
/// The number of shards of the keyed service.
pub const SHARDS: u32 = 16;

/// A waker that counts its wake-ups.
#[derive(Default)]
pub struct WakeCounter(Mutex<usize>);

impl Wake for WakeCounter {
    fn wake(self: Arc<Self>) {
        *self.0.lock().unwrap() += 1;
    }
}

impl WakeCounter {
    pub fn count(&self) -> usize {
        *self.0.lock().unwrap()
    }

    pub fn waker(self: &Arc<Self>) -> Waker {
        Waker::from(self.clone())
    }
}

pub fn target(index: usize, slots: u16, connections: u16) -> Target {
    Target {
        address: ([127, 0, 0, 1], 7_000 + index as u16).into(),
        data_centre: DataCentre::from(if index.is_multiple_of(2) { "a" } else { "b" }),
        slots,
        connections,
        checks_term: true,
        group: 0,
        state: TargetState::Serving,
    }
}

pub fn target_id(index: usize) -> TargetId {
    TargetId::from(format!("t{index}"))
}

pub fn service(prefix: &str, priority: u8, targets: usize, slots: u16) -> Service {
    let targets = (0..targets).map(|i| (target_id(i), target(i, slots, 45)));
    Service {
        prefix: prefix.to_owned(),
        keying: None,
        idempotent: vec!["GET".to_owned()],
        priority,
        spread_percent: 0,
        deadline_ms: 1_000,
        targets: targets.collect(),
    }
}

/// Returns a view with one unkeyed and one keyed service. Target `i % targets` owns shard `i` of
/// the keyed service.
pub fn view(targets: usize, slots: u16) -> View {
    let mut keyed = service("/listings/", 5, targets, slots);
    keyed.keying = Some(Keying {
        source: KeySource::Path,
        shards: SHARDS,
        groups: 1,
    });
    let services = BTreeMap::from([
        (
            ServiceId::from(REPORTS),
            service("/reports/", 1, targets, slots),
        ),
        (ServiceId::from(LISTINGS), keyed),
    ]);
    let mut view = View {
        state: InForce {
            number: TicketNumber(1),
            services,
        },
        groups: BTreeMap::new(),
    };
    for shard in 0..SHARDS {
        set_owner(&mut view, shard, Some(shard as usize % targets), 1);
    }
    view
}

/// Sets the owner and fencing token of a shard of the keyed service.
pub fn set_owner(view: &mut View, shard: u32, target: Option<usize>, fence: u64) {
    let group = GroupId {
        service: ServiceId::from(LISTINGS),
        index: 0,
    };
    let empty = Assignment::empty(group.clone());
    let group = view.groups.entry(group).or_insert(Arc::new(empty));
    let assignment = Arc::make_mut(group);
    assignment.version = Version(assignment.version.0 + 1);
    let owner = Owner {
        target: target.map(target_id),
        fence: Fence(fence),
    };
    assignment.owners.insert(Shard(shard), owner);
}

pub fn router(view: View) -> Router {
    router_with_rank(view, 0, 1)
}

pub fn router_with_rank(view: View, rank: u32, entries: u32) -> Router {
    let config = RouterConfig {
        vm: format!("vm-{rank}").into(),
        data_centre: DataCentre::from("a"),
        rank: EntryRank { rank, entries },
        seed: u64::from(rank),
    };
    Router::with_config(Arc::new(view), config)
}

/// Returns an idempotent request to the unkeyed service with a deadline in 1 s.
pub fn request(now: Instant, fingerprint: u64) -> RequestInfo {
    RequestInfo {
        service: ServiceId::from(REPORTS),
        key_hash: None,
        idempotent: true,
        replayable: true,
        deadline: now + Duration::from_secs(1),
        fingerprint,
    }
}

/// Returns a request to a shard of the keyed service.
pub fn keyed_request(now: Instant, shard: u64) -> RequestInfo {
    RequestInfo {
        service: ServiceId::from(LISTINGS),
        key_hash: Some(shard),
        ..request(now, shard)
    }
}

/// Returns a call to the unkeyed service that is not idempotent.
pub fn non_idempotent_call(now: Instant, fingerprint: u64) -> Call {
    Call::new(RequestInfo {
        idempotent: false,
        ..request(now, fingerprint)
    })
}
