//! A view of the size to build towards.

use std::collections::BTreeMap;
use std::sync::Arc;

use gooseberryloft::ids::Fence;
use gooseberryloft::ids::GroupId;
use gooseberryloft::ids::Shard;
use gooseberryloft::ids::TicketNumber;
use gooseberryloft::ids::Version;
use gooseberryloft::owner::assignment::Assignment;
use gooseberryloft::owner::assignment::Owner;
use gooseberryloft::ticket::InForce;
use gooseberryloft::ticket::KeySource;
use gooseberryloft::ticket::Keying;
use gooseberryloft::ticket::Service;
use gooseberryloft::ticket::Target;
use gooseberryloft::ticket::TargetState;
use gooseberryloft::view::View;

const GROUPS: u16 = 250;
const MIN_SHARDS: u32 = 65_536;

/// Returns a view with one keyed service in 250 groups.
pub fn full_view(shards: u32, targets: usize) -> View {
    let names: Vec<_> = (0..targets)
        .map(|i| format!("target-{i:05}").into())
        .collect();
    let entry = |i: usize| Target {
        address: ([10, 1, (i / 250) as u8, (i % 250) as u8], 8080).into(),
        data_centre: format!("data-centre-{}", i % 23).into(),
        slots: 6,
        connections: 130,
        checks_term: true,
        group: (i % usize::from(GROUPS)) as u16,
        state: TargetState::Serving,
    };
    let keying = Keying {
        source: KeySource::Path,
        shards: MIN_SHARDS.max(shards),
        groups: GROUPS,
    };
    let service = Service {
        prefix: "/status".into(),
        keying: Some(keying.clone()),
        idempotent: vec!["GET".into(), "HEAD".into()],
        priority: 5,
        spread_percent: 0,
        deadline_ms: 2_000,
        targets: names.iter().cloned().zip((0..targets).map(entry)).collect(),
    };
    let mut groups: BTreeMap<GroupId, Arc<Assignment>> = BTreeMap::new();
    for shard in (0..shards).map(Shard) {
        let index = keying.group_of(shard);
        let id = GroupId {
            service: "status".into(),
            index,
        };
        let group = groups
            .entry(id.clone())
            .or_insert_with(|| Arc::new(Assignment::empty(id)));
        let group = Arc::make_mut(group);
        group.version = Version(1);
        let target = usize::from(index) + usize::from(GROUPS) * (shard.0 as usize % 16);
        let target = names.get(target).cloned();
        group.owners.insert(
            shard,
            Owner {
                target,
                fence: Fence(1),
            },
        );
    }
    let services = BTreeMap::from([("status".into(), service)]);
    View {
        state: InForce {
            number: TicketNumber(1),
            services,
        },
        groups,
    }
}
