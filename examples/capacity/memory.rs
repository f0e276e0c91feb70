//! Bytes of memory per shard, target and VM.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use crate::HEAP;
use crate::report::Row;
use crate::view::full_view;
use gooseberryloft::ids::Fence;
use gooseberryloft::ids::Shard;
use gooseberryloft::member::VmDirectory;
use gooseberryloft::owner::assignment::AssignmentDelta;
use gooseberryloft::owner::assignment::Owner;
use gooseberryloft::platform::VmEntry;
use gooseberryloft::platform::VmState;
use gooseberryloft::route::Router;
use gooseberryloft::view::View;
use gooseberryloft::view::ViewChange;

const SHARDS: u32 = 65_536;
const TARGETS: usize = 4_000;
const VMS: usize = 4_000;
const CHANGES: u32 = 20;

/// Measured bytes.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    /// Of the view, per shard.
    pub view_shard: f64,
    /// Of the view, per target.
    pub view_target: f64,
    /// Of the routing table, per shard.
    pub route_shard: f64,
    /// Of the routing table, per target.
    pub route_target: f64,
    /// Of the list of VMs, per VM.
    pub vm: f64,
    /// Time to compile the routing table of the whole view, in milliseconds.
    pub compile_ms: f64,
    /// Time to take a change of one shard into a copy of the view and route by it, in milliseconds.
    pub change_ms: f64,
}

/// Measures the memory of views of growing size.
pub fn measure() -> Memory {
    let (empty, few) = (view(0, 1_000), view(0, TARGETS));
    let (all, full) = (view(SHARDS, TARGETS), view(2 * SHARDS, TARGETS));
    let targets = (TARGETS - 1_000) as f64;
    let held = |view: &Held| view.bytes as f64;
    let routes = [&empty, &few, &all, &full].map(|view| router(&view.view));
    let routed = |i: usize| routes[i].bytes as f64;
    Memory {
        view_shard: (held(&full) - held(&all)) / f64::from(SHARDS),
        view_target: (held(&few) - held(&empty)) / targets,
        route_shard: (routed(3) - routed(2)) / f64::from(SHARDS),
        route_target: (routed(1) - routed(0)) / targets,
        vm: vm_bytes(),
        compile_ms: routes[2].compile_ms,
        change_ms: change_ms(&all.view, &routes[2].router),
    }
}

/// Returns the report's lines.
pub fn rows(memory: &Memory) -> Vec<Row> {
    vec![
        Row::new("view, per shard", memory.view_shard, "B"),
        Row::new("view, per target", memory.view_target, "B"),
        Row::new("routing table, per shard", memory.route_shard, "B"),
        Row::new("routing table, per target", memory.route_target, "B"),
        Row::new("list of VMs, per VM", memory.vm, "B"),
        Row::new(
            "compiling 65,536 shards and 4,000 targets",
            memory.compile_ms,
            "ms",
        ),
        Row::new("changing one shard of them", memory.change_ms, "ms"),
    ]
}

struct Held {
    view: Arc<View>,
    bytes: usize,
}

struct Routed {
    router: Router,
    bytes: usize,
    compile_ms: f64,
}

fn view(shards: u32, targets: usize) -> Held {
    let before = HEAP.current_usage();
    let view = Arc::new(full_view(shards, targets));
    Held {
        view,
        bytes: HEAP.current_usage() - before,
    }
}

fn router(view: &Arc<View>) -> Routed {
    let before = HEAP.current_usage();
    let from = Instant::now();
    let router = Router::new(view.clone());
    let compile_ms = from.elapsed().as_secs_f64() * 1e3;
    Routed {
        router,
        bytes: HEAP.current_usage() - before,
        compile_ms,
    }
}

fn change_ms(view: &Arc<View>, router: &Router) -> f64 {
    let from = Instant::now();
    for round in 0..CHANGES {
        let mut view = View::clone(view);
        let changed = view.apply(change(&view, round));
        assert!(changed, "the change builds on the view");
        router.update(Arc::new(view));
    }
    from.elapsed().as_secs_f64() * 1e3 / f64::from(CHANGES)
}

fn change(view: &View, round: u32) -> ViewChange {
    let group = view.groups.values().next().expect("the view has groups");
    let owner = Owner {
        target: None,
        fence: Fence(2 + u64::from(round)),
    };
    ViewChange::Delta(AssignmentDelta {
        group: group.group.clone(),
        base: group.version,
        version: group.version.next(),
        owners: BTreeMap::from([(Shard(0), owner)]),
        gone: Vec::new(),
        hot_keys: BTreeMap::new(),
    })
}

fn vm_bytes() -> f64 {
    let before = HEAP.current_usage();
    let entry = |i: usize| VmEntry {
        vm: format!("vm-{i:05}").into(),
        data_centre: format!("data-centre-{}", i % 23).into(),
        address: ([10, 2, (i / 250) as u8, (i % 250) as u8], 7000).into(),
        state: VmState::Live,
    };
    let list = VmDirectory::new((0..VMS).map(entry).collect());
    let bytes = HEAP.current_usage() - before;
    drop(list);
    bytes as f64 / VMS as f64
}
