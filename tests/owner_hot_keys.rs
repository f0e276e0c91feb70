//! Hot keys get single-key shards, and the load is balanced with few moves.

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
const REPORTED_KEYS: usize = 128;
/// Requests per period, over all entries.
const REQUESTS: usize = 20_000;
const PERIOD: Duration = Duration::from_secs(5);

/// Draws keys from a Zipf distribution with exponent 1.
struct Zipf {
    hashes: Vec<u64>,
    /// The cumulative weights of the keys.
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

    /// Returns the maximum allowed ratio of peak to mean load: 1.15, or 5 % above the ratio that
    /// the hottest key alone causes.
    fn limit(&self, targets: usize) -> f64 {
        let forced = targets as f64 / self.sums[KEYS - 1];
        f64::max(1.15, 1.05 * forced)
    }

    /// Returns the ratio of peak to mean of the targets' actual load.
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

/// Runs the simulation for one period, with the load that the sketches of the entries measure.
fn run_period(simulation: &mut Simulation, zipf: &Zipf) {
    let mut rng = simulation.rng.clone();
    simulation.rng.random::<u64>();
    for vm in 0..simulation.vms.len() {
        let mut sketch = Sketch::new(SKETCH_KEYS);
        for _ in 0..REQUESTS / simulation.vms.len() {
            sketch.record(zipf.draw(&mut rng));
        }
        let rates = sketch.take_rates(PERIOD, REPORTED_KEYS);
        let loads = Loads {
            total: rates.total,
            keys: rates.keys,
        };
        simulation.send_loads(vm, loads);
    }
    simulation.run(PERIOD);
}

#[test]
fn zipf_load_is_balanced_and_then_few_shards_move() {
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
        run_period(&mut simulation, &zipf);
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
        run_period(&mut simulation, &zipf);
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

/// All owners that any version of the view has listed for one key.
struct ListedOwners {
    hash: u64,
    hashed_shard: Shard,
    listed: BTreeSet<(TargetId, ShardFence)>,
}

impl ListedOwners {
    fn new(simulation: &Simulation, hash: u64) -> Self {
        Self {
            hash,
            hashed_shard: Shard((hash % u64::from(simulation.config.shards)) as u32),
            listed: BTreeSet::new(),
        }
    }

    /// Adds the owner in the current view, and checks that at most one listed owner accepts the
    /// key, as entries may route by any earlier version of the view.
    fn check(&mut self, simulation: &mut Simulation) {
        let group = Simulation::group_id();
        if let Some(held) = simulation.view.groups.get(&group) {
            let shard = held
                .hot_keys
                .get(&self.hash)
                .copied()
                .unwrap_or(self.hashed_shard);
            let owner = &held.owners[&shard];
            let fence = owner.fence;
            let target = owner.target.clone();
            let at = ShardFence { shard, fence };
            self.listed.extend(target.map(|target| (target, at)));
        }
        let now = simulation.now;
        let accepting = self.listed.iter().filter(|(target, at)| {
            let process = simulation
                .targets
                .get_mut(target)
                .and_then(|p| p.last_mut());
            process.is_some_and(|p| !p.dead && p.grants.check(now, &group, *at).is_ok())
        });
        let accepting: BTreeSet<_> = accepting.map(|(target, _)| target).collect();
        assert!(accepting.len() <= 1, "key served by {accepting:?}");
    }
}

fn report_key_rate(simulation: &mut Simulation, hash: u64, rate: f64) {
    let keys = vec![KeyRate { hash, rate }];
    let total = 1000.0;
    simulation.send_loads(0, Loads { total, keys });
}

#[test]
fn a_key_has_one_owner_while_it_is_split_off_and_merged() {
    let mut simulation = Simulation::new(SimulationConfig {
        targets: 4,
        shards: 8,
        ..SimulationConfig::default()
    });
    let hash = key_hash(b"depot-7");
    let mut owners = ListedOwners::new(&simulation, hash);
    for round in 0..400 {
        let rate = if (round / 100) % 2 == 0 { 400.0 } else { 0.0 };
        report_key_rate(&mut simulation, hash, rate);
        for _ in 0..20 {
            simulation.run(Duration::from_millis(5));
            owners.check(&mut simulation);
        }
    }
    let shards: BTreeSet<_> = owners.listed.iter().map(|(_, at)| at.shard).collect();
    assert!(
        shards.len() >= 3,
        "split off twice, merged in between: {shards:?}"
    );
}

#[test]
fn a_key_is_not_split_off_before_its_shard_is_released() {
    let mut simulation = Simulation::new(SimulationConfig {
        targets: 4,
        shards: 8,
        ..SimulationConfig::default()
    });
    simulation.run(Duration::from_secs(4));
    let hash = key_hash(b"depot-7");
    let mut owners = ListedOwners::new(&simulation, hash);
    owners.check(&mut simulation);
    let row = simulation.shards_row().expect("a row of shards");
    let owner = row.owners[&owners.hashed_shard].target.clone();
    let mut others = simulation.targets.keys().filter(|target| **target != owner);
    let other = others.next().cloned().expect("another target");
    // The loss of another target causes a write while the owner cannot release the shard.
    simulation.kill_target(&other);
    simulation.run(Duration::from_millis(230));
    report_key_rate(&mut simulation, hash, 400.0);
    simulation.run(Duration::from_millis(5));
    simulation.freeze_target(&owner);
    for _ in 0..600 {
        simulation.run(Duration::from_millis(5));
        owners.check(&mut simulation);
    }
}
