//! The stored form of a key map: it is small enough for a row, and is read back unchanged.

use ciborium::de::from_reader;
use ciborium::ser::into_writer;
use googletest::prelude::*;
use serde::Serialize;

use gooseberryloft::ids::TargetId;
use gooseberryloft::node::keys::map::Holder;
use gooseberryloft::node::keys::map::KeyMap;
use gooseberryloft::node::keys::map::KeyRange;
use gooseberryloft::node::keys::map::MapVersion;
use gooseberryloft::node::keys::map::Ownership;

/// Maximum size of a row's value on the platform, in bytes.
const ROW_BYTES: usize = 65_536;

fn holder(number: usize) -> Holder {
    Holder {
        id: TargetId::from(format!("i-{number:08x}")),
        incarnation: 1_796_400_000_000 + number as u64,
    }
}

/// Returns a map of `count` ranges of equal size, of which every fourth is being moved.
fn map(targets: usize, count: usize) -> KeyMap {
    let first = |at: usize| (at * 65_536 / count) as u32;
    let range = |at: usize| Ownership {
        range: KeyRange {
            first: first(at) as u16,
            last: (first(at + 1) - 1) as u16,
        },
        owner: Some(holder(at % targets)),
        prior: at.is_multiple_of(4).then(|| holder((at + 1) % targets)),
    };
    KeyMap {
        version: MapVersion {
            term: 7,
            number: 42,
        },
        max_grant_ms: Some(2_480),
        ranges: (0..count).map(range).collect(),
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    into_writer(value, &mut bytes).expect("failed to encode");
    bytes
}

/// The form in which earlier versions of the program stored a map.
#[derive(Serialize)]
struct EarlierMap {
    version: MapVersion,
    h: Option<u64>,
    ranges: Vec<Ownership>,
}

#[googletest::test]
fn a_map_is_read_back_unchanged() {
    for count in [0, 1, 342, 2_000] {
        let map = map(342, count);
        let read: KeyMap = from_reader(&encode(&map)[..]).expect("failed to decode");
        expect_that!(read, eq(&map));
    }
}

#[googletest::test]
fn a_map_of_hundreds_of_targets_with_hot_keys_fits_into_a_row() {
    expect_that!(encode(&map(342, 3_000)).len(), lt(ROW_BYTES / 2));
}

#[googletest::test]
fn a_map_of_an_earlier_version_is_read() {
    let map = map(5, 9);
    let earlier = EarlierMap {
        version: map.version,
        h: map.max_grant_ms,
        ranges: map.ranges.clone(),
    };
    let read: KeyMap = from_reader(&encode(&earlier)[..]).expect("failed to decode");
    expect_that!(read, eq(&map));
}

#[googletest::test]
fn a_map_with_a_gap_is_refused() {
    let mut gap = map(5, 9);
    gap.ranges.remove(0);
    expect_that!(from_reader::<KeyMap, _>(&encode(&gap)[..]), err(anything()));
}
