//! Tests of the HTTP clients of the platform against a fake platform that injects faults.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpListener;
use async_std::task;
use googletest::prelude::*;

use gooseberryloft::platform::Condition;
use gooseberryloft::platform::HttpPlatform;
use gooseberryloft::platform::Mutation;
use gooseberryloft::platform::ObjectStore;
use gooseberryloft::platform::Table;
use gooseberryloft::platform::TableError;
use gooseberryloft::platform::Transaction;
use gooseberryloft::platform::VmEntry;
use gooseberryloft::platform::VmList;
use gooseberryloft::platform::VmState;
use gooseberryloft::platform::WriteId;
use gooseberryloft::settings::PlatformSettings;
use gooseberryloft::standin::FakeTable;
use gooseberryloft::standin::Faults;
use gooseberryloft::standin::platform;

fn connect(address: SocketAddr) -> HttpPlatform {
    HttpPlatform::new(&PlatformSettings {
        table: address,
        objects: address,
        vms: address,
    })
}

async fn start_platform() -> (FakeTable, HttpPlatform) {
    let table = FakeTable::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(platform::serve(listener, table.clone()));
    (table, connect(address))
}

fn put(id: u128, key: &str, revision: u64) -> Transaction {
    Transaction {
        id: WriteId(id),
        conditions: vec![Condition {
            key: key.into(),
            revision,
        }],
        mutations: vec![Mutation::Put {
            key: key.into(),
            value: id.to_be_bytes().to_vec(),
        }],
    }
}

#[googletest::test]
fn rows_are_written_read_and_scanned() {
    task::block_on(async {
        let (_, platform) = start_platform().await;
        expect_that!(platform.get("a").await, ok(none()));
        expect_that!(platform.commit(&put(1, "a/1", 0)).await, ok(anything()));
        expect_that!(platform.commit(&put(2, "a/2", 0)).await, ok(anything()));
        expect_that!(platform.commit(&put(3, "b", 0)).await, ok(anything()));
        let row = platform.get("a/1").await.unwrap().unwrap();
        expect_that!(row.revision, eq(1));
        expect_that!(row.writer, eq(WriteId(1)));
        expect_that!(row.value, eq(&1_u128.to_be_bytes().to_vec()));
        let keys: Vec<_> = platform.scan("a/").await.unwrap();
        let keys: Vec<_> = keys.iter().map(|row| row.key.as_str()).collect();
        expect_that!(keys, eq(&vec!["a/1", "a/2"]));
    });
}

#[googletest::test]
fn a_failed_condition_changes_nothing() {
    task::block_on(async {
        let (_, platform) = start_platform().await;
        platform.commit(&put(1, "a", 0)).await.unwrap();
        let mut both = put(2, "b", 0);
        both.conditions.push(Condition {
            key: "a".into(),
            revision: 7,
        });
        let conflict = TableError::Conflict {
            key: "a".into(),
            found: 1,
        };
        expect_that!(platform.commit(&both).await, err(eq(&conflict)));
        expect_that!(platform.get("b").await, ok(none()));
    });
}

#[googletest::test]
fn a_lost_response_is_unknown_and_is_resolved_by_reading() {
    task::block_on(async {
        let (table, platform) = start_platform().await;
        table.set_faults(Faults {
            lose_answers: 1,
            ..Faults::default()
        });
        let lost = platform.commit(&put(9, "a", 0)).await;
        expect_that!(lost, err(matches_pattern!(TableError::Unknown(_))));
        let row = platform.get("a").await.unwrap().unwrap();
        expect_that!(row.writer, eq(WriteId(9)));
    });
}

#[googletest::test]
fn an_outage_a_write_limit_and_a_stale_replica() {
    task::block_on(async {
        let (table, platform) = start_platform().await;
        platform.commit(&put(1, "a", 0)).await.unwrap();
        table.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
        let down = platform.get("a").await;
        expect_that!(down, err(matches_pattern!(TableError::Unknown(_))));
        table.set_faults(Faults {
            stale: true,
            ..Faults::default()
        });
        platform.commit(&put(2, "a", 1)).await.unwrap();
        expect_that!(platform.get("a").await.unwrap().unwrap().revision, eq(1));
        table.set_faults(Faults {
            writes_per_second: 1,
            ..Faults::default()
        });
        let mut throttled = 0;
        for id in 3..6 {
            let refused = platform.commit(&put(id, "c", 0)).await;
            throttled += u32::from(refused == Err(TableError::Throttled));
        }
        expect_that!(throttled, ge(1));
    });
}

#[googletest::test]
fn objects_and_vms() {
    task::block_on(async {
        let (table, platform) = start_platform().await;
        expect_that!(platform.read("x").await, ok(none()));
        platform.write("x", b"body").await.unwrap();
        expect_that!(platform.read("x").await, ok(some(eq(&b"body".to_vec()))));
        let vm = VmEntry {
            vm: "vm-1".into(),
            data_centre: "north".into(),
            address: "127.0.0.1:7801".parse().unwrap(),
            state: VmState::Leaving,
        };
        table.set_vms(vec![vm.clone()]);
        expect_that!(platform.vms().await, ok(eq(&vec![vm])));
    });
}

// Starts a server that sends the same bytes on every connection and then closes it.
async fn start_server(bytes: &'static [u8]) -> SocketAddr {
    use async_std::io::ReadExt;
    use async_std::io::WriteExt;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(bytes).await;
        }
    });
    address
}

#[googletest::test]
fn a_truncated_or_malformed_response_is_unknown() {
    let responses: [&[u8]; 5] = [
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n\xf6",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n\xff\xff",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n",
        b"junk",
    ];
    task::block_on(async {
        for bytes in responses {
            let platform = connect(start_server(bytes).await);
            let result = platform.commit(&put(1, "a", 0)).await;
            let text = String::from_utf8_lossy(bytes);
            expect_that!(
                result,
                err(matches_pattern!(TableError::Unknown(_))),
                "{text}"
            );
        }
    });
}

#[googletest::test]
fn a_response_with_an_invalid_status_is_unknown_and_ends_its_connection() {
    task::block_on(async {
        for status in ["000", "099", "600", "999", "101", "103"] {
            let response = format!("HTTP/1.1 {status} S\r\ncontent-length: 1\r\n\r\n\u{1}");
            expect_unknown(response.leak().as_bytes()).await;
        }
    });
}

#[googletest::test]
fn a_response_with_an_invalid_field_name_is_unknown_and_ends_its_connection() {
    task::block_on(async {
        for line in [
            "x note: 1",
            " x-note: 1",
            "x-note : 1",
            "x-note\t: 1",
            "x\0note: 1",
            "x-\u{7f}note: 1",
            "content-length : 9",
        ] {
            let response =
                format!("HTTP/1.1 200 S\r\nx-first: 1\r\n{line}\r\ncontent-length: 1\r\n\r\n\u{1}");
            expect_unknown(response.leak().as_bytes()).await;
        }
    });
}

/// Checks that the outcome of a write with this response is unknown, and that its connection is not
/// used again.
async fn expect_unknown(response: &'static [u8]) {
    let platform = connect(start_keep_alive(response).await);
    let text = String::from_utf8_lossy(response);
    let written = platform.write("a", b"a").await;
    expect_that!(
        written,
        err(matches_pattern!(TableError::Unknown(_))),
        "{text}"
    );
    expect_that!(platform.write("a", b"a").await, ok(anything()), "{text}");
}

/// Starts a server that answers each request on its first connection with these bytes, and those on
/// others with a valid response.
async fn start_keep_alive(first: &'static [u8]) -> SocketAddr {
    use async_std::io::ReadExt;
    use async_std::io::WriteExt;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let mut bytes = first;
        while let Ok((mut stream, _)) = listener.accept().await {
            task::spawn(async move {
                while matches!(stream.read(&mut [0; 4096]).await, Ok(1..)) {
                    let _ = stream.write_all(bytes).await;
                }
            });
            bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        }
    });
    address
}

#[googletest::test]
fn a_call_to_a_service_that_never_responds_times_out() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let platform = connect(listener.local_addr().unwrap());
        let start = Instant::now();
        let result = platform.commit(&put(1, "a", 0)).await;
        expect_that!(result, err(matches_pattern!(TableError::Unknown(_))));
        expect_that!(start.elapsed(), le(Duration::from_secs(5)));
    });
}
