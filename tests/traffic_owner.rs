//! What callers see when a key's owner changes while they wait.

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

/// The longest time that a key may be without service after the loss of its owner.
const LOSS_LIMIT: Duration = Duration::from_secs(1);

/// A target that takes requests and never answers; each request is told.
fn frozen(told: mpsc::Sender<()>) -> SocketAddr {
    target(move |mut conn, _| {
        while read_request(&mut conn).is_some() {
            let _ = told.send(());
        }
    })
}

/// The view after all shards went to another target.
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
fn a_read_at_a_frozen_owner_goes_to_the_new_owner() {
    let (tell, told) = mpsc::channel();
    let old = frozen(tell);
    let new = http_target(|request| {
        ok_response(request.field("x-gooseberryloft-fence").unwrap_or_default())
    });
    let entry = start_entry(keyed_view(old));
    let address = entry.address();
    let began = Instant::now();
    let caller = thread::spawn(move || get(address, "/jobs/17"));
    told.recv().unwrap();
    entry.shared().router.update(Arc::new(moved_view(old, new)));
    let answer = caller.join().unwrap();
    expect_that!(answer, starts_with("HTTP/1.1 200 "));
    expect_that!(answer, ends_with("\r\n\r\n8"));
    expect_that!(began.elapsed(), lt(LOSS_LIMIT));
}

#[googletest::test]
fn a_booking_at_a_frozen_owner_is_not_sent_again() {
    let (tell, told) = mpsc::channel();
    let (tell_new, told_new) = mpsc::channel();
    let old = frozen(tell);
    let new = frozen(tell_new);
    let mut view = keyed_view(old);
    let service = view.state.services.get_mut(&"roster".into()).unwrap();
    service.deadline_ms = 500;
    let entry = start_entry(view);
    let address = entry.address();
    let request =
        "POST /jobs/17 HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    let caller = thread::spawn(move || exchange(address, request.as_bytes()));
    told.recv().unwrap();
    entry.shared().router.update(Arc::new(moved_view(old, new)));
    let answer = caller.join().unwrap();
    expect_that!(
        answer,
        contains_substring("x-gooseberryloft-outcome: unknown\r\n")
    );
    expect_that!(told_new.try_recv(), err(anything()));
}
