//! Benchmarks of routing decisions with 65,536 shards and 4,000 targets.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use criterion::Criterion;

use gooseberryloft::ids::DataCentre;
use gooseberryloft::ids::Fence;
use gooseberryloft::ids::GroupId;
use gooseberryloft::ids::ServiceId;
use gooseberryloft::ids::Shard;
use gooseberryloft::ids::TargetId;
use gooseberryloft::ids::TicketNumber;
use gooseberryloft::ids::Version;
use gooseberryloft::ids::key_hash;
use gooseberryloft::owner::assignment::Assignment;
use gooseberryloft::owner::assignment::Owner;
use gooseberryloft::route::AttemptOutcome;
use gooseberryloft::route::Call;
use gooseberryloft::route::RequestInfo;
use gooseberryloft::route::Router;
use gooseberryloft::route::RouterConfig;
use gooseberryloft::route::Step;
use gooseberryloft::ticket::InForce;
use gooseberryloft::ticket::KeySource;
use gooseberryloft::ticket::Keying;
use gooseberryloft::ticket::Service;
use gooseberryloft::ticket::Target;
use gooseberryloft::ticket::TargetState;
use gooseberryloft::view::View;

const SHARDS: u32 = 65_536;
const TARGETS: u32 = 4_000;
const DATA_CENTRES: u32 = 23;
const SERVICES: u32 = 40;
const HOT_KEYS: u32 = 160;
/// Decisions between two reports of key loads: 5,500 per second for 5 s.
const DECISIONS_PER_REPORT: u64 = 27_500;

fn target_id(index: u32) -> TargetId {
    TargetId::from(format!("target-{index:04}"))
}

fn service(prefix: &str, keying: Option<Keying>, targets: u32) -> Service {
    let target = |index: u32| Target {
        address: ([127, 0, (index >> 8) as u8, index as u8], 80).into(),
        data_centre: DataCentre::from(format!("dc-{}", index % DATA_CENTRES)),
        slots: 6,
        connections: 130,
        checks_term: true,
        group: 0,
        state: TargetState::Serving,
    };
    Service {
        prefix: prefix.to_owned(),
        keying,
        idempotent: vec!["GET".to_owned()],
        priority: 1,
        spread_percent: 0,
        deadline_ms: 1_000,
        targets: (0..targets).map(|i| (target_id(i), target(i))).collect(),
    }
}

fn view() -> View {
    let mut services = BTreeMap::new();
    let keying = Keying {
        source: KeySource::Path,
        shards: SHARDS,
        groups: 1,
    };
    let keyed = ServiceId::from("jobs");
    services.insert(keyed.clone(), service("/jobs/", Some(keying), TARGETS));
    services.insert(
        ServiceId::from("manuals"),
        service("/manuals/", None, TARGETS),
    );
    for index in 0..SERVICES {
        let prefix = format!("/service/{index}/");
        services.insert(ServiceId::from(prefix.clone()), service(&prefix, None, 8));
    }
    let group = GroupId {
        service: keyed,
        index: 0,
    };
    let mut assignment = Assignment::empty(group.clone());
    assignment.version = Version(1);
    for shard in 0..SHARDS + HOT_KEYS {
        let owner = Owner {
            target: Some(target_id(shard % TARGETS)),
            fence: Fence(1),
        };
        assignment.owners.insert(Shard(shard), owner);
    }
    for key in 0..HOT_KEYS {
        let hash = key_hash(&key.to_le_bytes());
        assignment.hot_keys.insert(hash, Shard(SHARDS + key));
    }
    View {
        state: InForce {
            number: TicketNumber(1),
            services,
        },
        groups: BTreeMap::from([(group, Arc::new(assignment))]),
    }
}

fn route(router: &Router, path: &str, key_hash: Option<u64>, now: Instant) {
    let service = router.service_of(path).expect("a known path");
    let mut call = Call::new(RequestInfo {
        service,
        key_hash,
        idempotent: true,
        replayable: true,
        deadline: now + Duration::from_secs(1),
        fingerprint: 1,
    });
    match call.step(router, now, Waker::noop()) {
        Step::Send(attempt) => {
            let outcome = AttemptOutcome::Responded { status: 200 };
            black_box(call.finish_attempt(router, now, attempt, outcome));
        }
        other => panic!("not sent: {other:?}"),
    }
}

fn decisions(c: &mut Criterion) {
    let config = RouterConfig {
        data_centre: DataCentre::from("dc-3"),
        ..RouterConfig::default()
    };
    let view = Arc::new(view());
    let router = Router::with_config(view.clone(), config);
    let now = Instant::now();
    let mut key = 0u64;
    c.bench_function("prefix lookup", |b| {
        b.iter(|| router.service_of(black_box("/service/17/document")));
    });
    c.bench_function("keyed decision", |b| {
        b.iter(|| {
            key += 1;
            if key.is_multiple_of(DECISIONS_PER_REPORT) {
                black_box(router.take_key_loads(Duration::from_secs(5)));
            }
            route(&router, "/jobs/1", Some(key_hash(&key.to_le_bytes())), now);
        });
    });
    c.bench_function("unkeyed decision", |b| {
        b.iter(|| route(&router, "/manuals/1", None, now));
    });
    c.bench_function("new view", |b| b.iter(|| router.update(view.clone())));
}

fn main() {
    let time = Duration::from_secs(2);
    let mut criterion = Criterion::default()
        .measurement_time(time)
        .configure_from_args();
    decisions(&mut criterion);
    criterion.final_summary();
}
