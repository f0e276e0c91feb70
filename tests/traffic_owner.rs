//! Requests that are waiting for the owner of a key when the key moves to another target.

mod traffic_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use crate::traffic_support::exchange;
use crate::traffic_support::get;
use crate::traffic_support::http_target;
use crate::traffic_support::keyed_view;
use crate::traffic_support::ok_response;
use crate::traffic_support::read_request;
use crate::traffic_support::start_entry;
use crate::traffic_support::target;
use gooseberryloft::ids::Fence;
use gooseberryloft::ids::Version;
use gooseberryloft::view::View;

/// Longest time that a key may be unavailable after the loss of its owner.
const MAX_OUTAGE: Duration = Duration::from_secs(1);

/// Starts a target that reports each request to `requests` and never responds.
fn frozen_target(requests: mpsc::Sender<()>) -> SocketAddr {
    target(move |mut conn, _| {
        while read_request(&mut conn).is_some() {
            let _ = requests.send(());
        }
    })
}

/// Returns the view after all shards have moved from one target to another.
fn moved_view(from: SocketAddr, to: SocketAddr) -> View {
    let mut view = keyed_view(from);
    let added = keyed_view(to).state.services[&"roster".into()].targets[&"t0".into()].clone();
    let service = view.state.services.get_mut(&"roster".into()).unwrap();
    service.targets.insert("t1".into(), added);
    for group in view.groups.values_mut() {
        let group = Arc::make_mut(group);
        group.version = Version(2);
        for owner in group.owners.values_mut() {
            owner.target = Some("t1".into());
            owner.fence = Fence(8);
        }
    }
    view
}

#[googletest::test]
fn an_idempotent_request_to_a_frozen_owner_is_sent_to_the_new_owner() {
    let (tx, rx) = mpsc::channel();
    let old = frozen_target(tx);
    let new = http_target(|request| {
        ok_response(request.field("x-gooseberryloft-fence").unwrap_or_default())
    });
    let entry = start_entry(keyed_view(old));
    let address = entry.address();
    let started = Instant::now();
    let caller = thread::spawn(move || get(address, "/jobs/17"));
    rx.recv().unwrap();
    entry.shared().router.update(Arc::new(moved_view(old, new)));
    let response = caller.join().unwrap();
    expect_that!(response, starts_with("HTTP/1.1 200 "));
    expect_that!(response, ends_with("\r\n\r\n8"));
    expect_that!(started.elapsed(), lt(MAX_OUTAGE));
}

#[googletest::test]
fn a_non_idempotent_request_to_a_frozen_owner_is_not_retried() {
    let (tx, rx) = mpsc::channel();
    let (new_tx, new_rx) = mpsc::channel();
    let old = frozen_target(tx);
    let new = frozen_target(new_tx);
    let mut view = keyed_view(old);
    let service = view.state.services.get_mut(&"roster".into()).unwrap();
    service.deadline_ms = 500;
    let entry = start_entry(view);
    let address = entry.address();
    let request =
        "POST /jobs/17 HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    let caller = thread::spawn(move || exchange(address, request.as_bytes()));
    rx.recv().unwrap();
    entry.shared().router.update(Arc::new(moved_view(old, new)));
    let response = caller.join().unwrap();
    expect_that!(
        response,
        contains_substring("x-gooseberryloft-outcome: unknown\r\n")
    );
    expect_that!(new_rx.try_recv(), err(anything()));
}
