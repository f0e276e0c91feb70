//! Rows of the table are decoded as they were encoded, and their encoding is compact.

use std::collections::BTreeMap;

use gooseberryloft::ids::BootId;
use gooseberryloft::ids::Fence;
use gooseberryloft::ids::Shard;
use gooseberryloft::ids::TargetId;
use gooseberryloft::owner::rows;
use gooseberryloft::owner::rows::RowOwner;
use gooseberryloft::owner::rows::ShardsRow;

const SHARDS: u32 = 4096;
const TARGETS: u32 = 16;

fn row() -> ShardsRow {
    let name = |i: u32| TargetId::from(format!("target-{i:05}"));
    let owner = |i: u32| RowOwner {
        target: name(i % TARGETS),
        fence: Fence(40_000 + u64::from(i)),
    };
    ShardsRow {
        max_fence: Fence(50_000),
        next_shard: Shard(SHARDS + 1),
        boots: (0..TARGETS).map(|i| (name(i), BootId(u64::MAX))).collect(),
        owners: (0..SHARDS).map(|i| (Shard(i), owner(i))).collect(),
        hot_keys: BTreeMap::from([(7, Shard(SHARDS))]),
    }
}

#[test]
fn a_row_is_decoded_as_encoded() {
    let bytes = rows::encode(&row());
    println!("{} bytes per shard", bytes.len() as f64 / f64::from(SHARDS));
    let decoded: ShardsRow = rows::decode("shards/status/0", &bytes).expect("a row");
    assert_eq!(decoded, row());
    assert!(bytes.len() < 16 * SHARDS as usize, "{} bytes", bytes.len());
}

#[test]
fn the_error_for_a_malformed_row_contains_its_key() {
    let error = rows::decode::<ShardsRow>("shards/status/0", b"\xff").expect_err("no row");
    assert!(error.to_string().contains("shards/status/0"), "{error}");
}
