//! Hot keys get shards of their own, and load evens out with few moves.

#[path = "support/owner_simulation.rs"]
mod simulation;
#[path = "support/owner_table.rs"]
mod table;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;

use crate::simulation::Simulation;
use crate::simulation::SimulationConfig;
use gooseberryloft::ids::Shard;
use gooseberryloft::ids::TargetId;
use gooseberryloft::ids::key_hash;
use gooseberryloft::owner::loads::KeyRate;
use gooseberryloft::owner::loads::Loads;
use gooseberryloft::owner::order::ShardFence;
use gooseberryloft::owner::sketch::Sketch;

const KEYS: usize = 100_000;
const SKETCH_KEYS: usize = 1024;
const REPORTED: usize = 128;
const REQUESTS: usize = 20_000;
const PERIOD: Duration = Duration::from_secs(5);

/// Keys drawn by Zipf's law with exponent 1.
struct Zipf {
    hashes: Vec<u64>,
    sums: Vec<f64>,
}

impl Zipf {
    fn new() -> Self {
        let hashes = (0..KEYS).map(|i| key_hash(format!("job-{i}").as_bytes()));
        let mut sum = 0.0;
        let sums = (0..KEYS).map(|i| {
            sum += 1.0 / (i + 1) as f64;
            sum
        });
        Self {
            hashes: hashes.collect(),
            sums: sums.collect(),
        }
    }

    fn draw(&self, rng: &mut impl Rng) -> u64 {
        let at = rng.random_range(0.0..self.sums[KEYS - 1]);
        self.hashes[self.sums.partition_point(|sum| *sum <= at)]
    }

    /// Returns the highest peak over mean that is asked for: the hottest key alone may force more.
    fn limit(&self, targets: usize) -> f64 {
        let forced = targets as f64 / self.sums[KEYS - 1];
        f64::max(1.15, 1.05 * forced)
    }

    /// Returns the peak over the mean of the targets' true load.
    fn peak(&self, simulation: &Simulation) -> f64 {
        let row = simulation.shards_row().expect("a row of shards");
        let mut loads: BTreeMap<&TargetId, f64> = BTreeMap::new();
        for (i, hash) in self.hashes.iter().enumerate() {
            let hashed = Shard((hash % u64::from(simulation.config.shards)) as u32);
            let shard = row.hot_keys.get(hash).copied().unwrap_or(hashed);
            *loads.entry(&row.owners[&shard].target).or_default() += 1.0 / (i + 1) as f64;
        }
        let peak = loads.values().copied().fold(0.0, f64::max);
        peak * simulation.config.targets as f64 / self.sums[KEYS - 1]
    }
}

/// Lets a period of load pass, seen by the entries through their sketches.
fn pass(simulation: &mut Simulation, zipf: &Zipf) {
    let mut rng = simulation.rng.clone();
    simulation.rng.random::<u64>();
    for vm in 0..simulation.vms.len() {
        let mut sketch = Sketch::new(SKETCH_KEYS);
        for _ in 0..REQUESTS / simulation.vms.len() {
            sketch.record(zipf.draw(&mut rng));
        }
        let rates = sketch.take_rates(PERIOD, REPORTED);
        let loads = Loads {
            total: rates.total,
            keys: rates.keys,
        };
        simulation.send_loads(vm, loads);
    }
    simulation.run(PERIOD);
}

#[test]
fn zipf_load_evens_out_and_stays_put() {
    let mut simulation = Simulation::new(SimulationConfig {
        targets: 15,
        shards: 1024,
        sample_period: Duration::from_millis(200),
        ..SimulationConfig::default()
    });
    simulation.run(Duration::from_secs(3));
    let zipf = Zipf::new();
    println!("before: {:.3}", zipf.peak(&simulation));
    simulation.reset_unserved();
    for _ in 0..8 {
        pass(&mut simulation, &zipf);
    }
    let peak = zipf.peak(&simulation);
    let row = simulation.shards_row().expect("a row of shards");
    println!(
        "after: {peak:.3} hot={} top={}",
        row.hot_keys.len(),
        row.max_fence
    );
    let limit = zipf.limit(simulation.config.targets);
    assert!(peak <= limit, "{peak} over {limit}");
    let before = row.owners;
    let minutes = 1;
    for _ in 0..12 * minutes {
        pass(&mut simulation, &zipf);
    }
    let after = simulation.shards_row().expect("a row of shards").owners;
    let moved = after
        .iter()
        .filter(|(shard, owner)| before.get(shard) != Some(owner));
    let moved = moved.count();
    println!("moved: {moved} peak: {:.3}", zipf.peak(&simulation));
    assert!(
        moved * 1000 <= minutes * after.len(),
        "{moved} shards moved"
    );
}

/// Every place that any view ever named for one key.
struct Places {
    hash: u64,
    hashed: Shard,
    known: BTreeSet<(TargetId, ShardFence)>,
}

impl Places {
    fn new(simulation: &Simulation, hash: u64) -> Self {
        Self {
            hash,
            hashed: Shard((hash % u64::from(simulation.config.shards)) as u32),
            known: BTreeSet::new(),
        }
    }

    /// Entries with any earlier view may send the key where that view says: one target takes it.
    fn check(&mut self, simulation: &mut Simulation) {
        let group = Simulation::group_id();
        if let Some(held) = simulation.view.groups.get(&group) {
            let shard = held
                .hot_keys
                .get(&self.hash)
                .copied()
                .unwrap_or(self.hashed);
            let owner = &held.owners[&shard];
            let fence = owner.fence;
            let target = owner.target.clone();
            let at = ShardFence { shard, fence };
            self.known.extend(target.map(|target| (target, at)));
        }
        let now = simulation.now;
        let takers = self.known.iter().filter(|(target, at)| {
            let process = simulation
                .targets
                .get_mut(target)
                .and_then(|p| p.last_mut());
            process.is_some_and(|p| !p.dead && p.grants.check(now, &group, *at).is_ok())
        });
        let takers: BTreeSet<_> = takers.map(|(target, _)| target).collect();
        assert!(takers.len() <= 1, "key served by {takers:?}");
    }
}

fn heat(simulation: &mut Simulation, hash: u64, rate: f64) {
    let keys = vec![KeyRate { hash, rate }];
    let total = 1000.0;
    simulation.send_loads(0, Loads { total, keys });
}

#[test]
fn a_key_on_its_way_is_served_at_one_place() {
    let mut simulation = Simulation::new(SimulationConfig {
        targets: 4,
        shards: 8,
        ..SimulationConfig::default()
    });
    let hash = key_hash(b"depot-7");
    let mut places = Places::new(&simulation, hash);
    for round in 0..400 {
        let rate = if (round / 100) % 2 == 0 { 400.0 } else { 0.0 };
        heat(&mut simulation, hash, rate);
        for _ in 0..20 {
            simulation.run(Duration::from_millis(5));
            places.check(&mut simulation);
        }
    }
    let shards: BTreeSet<_> = places.known.iter().map(|(_, at)| at.shard).collect();
    assert!(
        shards.len() >= 3,
        "carved twice, merged between: {shards:?}"
    );
}

#[test]
fn a_key_is_not_carved_before_its_shard_is_released() {
    let mut simulation = Simulation::new(SimulationConfig {
        targets: 4,
        shards: 8,
        ..SimulationConfig::default()
    });
    simulation.run(Duration::from_secs(4));
    let hash = key_hash(b"depot-7");
    let mut places = Places::new(&simulation, hash);
    places.check(&mut simulation);
    let row = simulation.shards_row().expect("a row of shards");
    let owner = row.owners[&places.hashed].target.clone();
    let mut others = simulation.targets.keys().filter(|target| **target != owner);
    let other = others.next().cloned().expect("another target");
    // The loss of another target makes a write while the owner cannot release.
    simulation.kill_target(&other);
    simulation.run(Duration::from_millis(230));
    heat(&mut simulation, hash, 400.0);
    simulation.run(Duration::from_millis(5));
    simulation.freeze_target(&owner);
    for _ in 0..600 {
        simulation.run(Duration::from_millis(5));
        places.check(&mut simulation);
    }
}
