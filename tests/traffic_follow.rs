//! Tests of [`Follower`] on a simulated clock: connecting to controllers, failover, and freshness
//! of the view.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use proptest::prelude::*;

use gooseberryloft::ids::BootId;
use gooseberryloft::ids::TicketNumber;
use gooseberryloft::link::Message;
use gooseberryloft::owner::loads::KeyRate;
use gooseberryloft::owner::loads::Loads;
use gooseberryloft::route::ServiceLoads;
use gooseberryloft::state_sync::Summary;
use gooseberryloft::ticket::InForce;
use gooseberryloft::traffic::follow::Action;
use gooseberryloft::traffic::follow::CONNECT_TIMEOUT;
use gooseberryloft::traffic::follow::Follower;
use gooseberryloft::traffic::follow::Identity;
use gooseberryloft::traffic::follow::LINK_TIMEOUT;
use gooseberryloft::view::View;
use gooseberryloft::view::ViewChange;
use gooseberryloft::view::ViewDigest;

const STALE_LIMIT: Duration = Duration::from_secs(30);
const TICK: Duration = Duration::from_millis(50);

fn controllers() -> Vec<SocketAddr> {
    let ports = 1..=3;
    ports
        .map(|port| SocketAddr::from(([127, 0, 0, 1], port)))
        .collect()
}

fn follower(now: Instant) -> Follower {
    let identity = Identity {
        vm: "entry-1".into(),
        boot: BootId(1),
        data_centre: "ikeja".into(),
    };
    Follower::new(identity, controllers(), STALE_LIMIT, now)
}

fn state_change(number: u64) -> Message {
    let number = TicketNumber(number);
    let services = Default::default();
    Message::Changes(vec![ViewChange::State(InForce { number, services })])
}

fn services_change(base: u64, number: u64) -> Message {
    Message::Changes(vec![ViewChange::Services {
        base: TicketNumber(base),
        number: TicketNumber(number),
        services: Default::default(),
    }])
}

fn summary(number: u64, age_ms: Option<u64>) -> Message {
    let mut view = View::default();
    view.state.number = TicketNumber(number);
    Message::Summary(Summary::of(&view, age_ms))
}

fn published_number(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        Action::Publish(view) => Some(view.state.number.0),
        _ => None,
    })
}

fn opened_address(actions: &[Action]) -> Option<SocketAddr> {
    actions.iter().find_map(|action| match action {
        Action::Open(peer) => Some(*peer),
        _ => None,
    })
}

#[googletest::test]
fn the_first_controller_receives_a_hello() {
    let now = Instant::now();
    let mut follower = follower(now);
    expect_that!(
        opened_address(&follower.tick(now, |_| Vec::new())),
        some(eq(controllers()[0]))
    );
    let actions = follower.opened(now);
    expect_that!(
        actions,
        elements_are![matches_pattern!(Action::Send(pat!(Message::Hello(_))))]
    );
    expect_that!(follower.is_fresh(now), eq(false));
    expect_that!(
        published_number(&follower.received(state_change(3), now)),
        some(eq(3))
    );
    expect_that!(follower.is_fresh(now), eq(false));
    // A controller that has just started is not confirmed and may have an old ticket number.
    follower.received(summary(3, None), now);
    expect_that!(follower.is_fresh(now), eq(false));
    follower.received(summary(3, Some(5)), now);
    expect_that!(follower.is_fresh(now), eq(true));
}

#[googletest::test]
fn a_gap_causes_a_digest() {
    let now = Instant::now();
    let mut follower = follower(now);
    follower.tick(now, |_| Vec::new());
    follower.opened(now);
    follower.received(state_change(3), now);
    let actions = follower.received(services_change(4, 5), now);
    expect_that!(
        actions,
        elements_are![matches_pattern!(Action::Send(pat!(Message::Digest(_))))]
    );
    expect_that!(
        published_number(&follower.received(services_change(3, 4), now)),
        some(eq(4))
    );
}

#[googletest::test]
fn an_unresponsive_controller_is_replaced_by_the_next() {
    let mut now = Instant::now();
    let mut follower = follower(now);
    follower.tick(now, |_| Vec::new());
    follower.opened(now);
    follower.received(state_change(3), now);
    let last_received = now;
    let next = loop {
        now += TICK;
        if let Some(peer) = opened_address(&follower.tick(now, |_| Vec::new())) {
            break peer;
        }
    };
    expect_that!(next, eq(controllers()[1]));
    expect_that!(
        now - last_received,
        le(LINK_TIMEOUT + Duration::from_millis(200))
    );
    // The next controller is also tried if a link is not opened in time.
    let connecting_since = now;
    let next = loop {
        now += TICK;
        if let Some(peer) = opened_address(&follower.tick(now, |_| Vec::new())) {
            break peer;
        }
    };
    expect_that!(next, eq(controllers()[2]));
    expect_that!(
        now - connecting_since,
        le(CONNECT_TIMEOUT + Duration::from_millis(200))
    );
}

#[googletest::test]
fn the_view_becomes_stale_without_confirmation() {
    let now = Instant::now();
    let mut follower = follower(now);
    follower.tick(now, |_| Vec::new());
    follower.opened(now);
    follower.received(state_change(3), now);
    follower.received(summary(3, Some(0)), now);
    expect_that!(follower.is_fresh(now + STALE_LIMIT), eq(true));
    expect_that!(follower.is_fresh(now + STALE_LIMIT + TICK), eq(false));
    let later = now + STALE_LIMIT + TICK;
    follower.lost(later);
    follower.tick(later + TICK * 4, |_| Vec::new());
    follower.opened(later + TICK * 4);
    follower.received(Message::Pong(1), later + TICK * 5);
    expect_that!(follower.is_fresh(later + TICK * 5), eq(false));
    follower.received(summary(3, Some(0)), later + TICK * 5);
    expect_that!(follower.is_fresh(later + TICK * 5), eq(true));
}

#[googletest::test]
fn the_first_ticket_of_a_confirmed_controller_confirms_the_view() {
    let now = Instant::now();
    let mut follower = follower(now);
    follower.tick(now, |_| Vec::new());
    follower.opened(now);
    follower.received(summary(0, Some(5)), now);
    expect_that!(follower.is_fresh(now), eq(false));
    follower.received(state_change(1), now);
    expect_that!(follower.is_fresh(now), eq(true));
    // A new link is not trusted until the controller reports that it is confirmed.
    follower.lost(now + STALE_LIMIT);
    follower.tick(now + STALE_LIMIT * 2, |_| Vec::new());
    follower.opened(now + STALE_LIMIT * 2);
    follower.received(state_change(2), now + STALE_LIMIT * 2);
    expect_that!(follower.is_fresh(now + STALE_LIMIT * 2), eq(false));
}

#[googletest::test]
fn a_controller_that_lacks_changes_receives_them() {
    let now = Instant::now();
    let mut follower = follower(now);
    follower.tick(now, |_| Vec::new());
    follower.opened(now);
    follower.received(state_change(3), now);
    let actions = follower.received(Message::Digest(ViewDigest::default()), now);
    expect_that!(
        actions,
        elements_are![matches_pattern!(Action::Send(pat!(Message::Changes(_))))]
    );
    let newer = ViewDigest {
        number: TicketNumber(4),
        ..ViewDigest::default()
    };
    let actions = follower.received(Message::Digest(newer), now);
    expect_that!(
        actions,
        elements_are![matches_pattern!(Action::Send(pat!(Message::Digest(_))))]
    );
    let actions = follower.received(summary(4, Some(0)), now);
    expect_that!(
        actions,
        elements_are![matches_pattern!(Action::Send(pat!(Message::Digest(_))))]
    );
}

#[googletest::test]
fn reports_include_the_hottest_keys_periodically() {
    let start = Instant::now();
    let mut follower = follower(start);
    follower.tick(start, |_| Vec::new());
    follower.opened(start);
    let keys = (0..100).map(|hash| KeyRate { hash, rate: 9.0 });
    let loads = Loads {
        total: 1000.0,
        keys: keys.collect(),
    };
    let load = ServiceLoads {
        service: "jobs".into(),
        loads,
    };
    let mut key_counts = Vec::new();
    for second in 1..=10 {
        let now = start + Duration::from_secs(second);
        follower.received(Message::Pong(0), now);
        for action in follower.tick(now, |_| vec![load.clone()]) {
            if let Action::Send(Message::Report(report)) = action {
                key_counts.push(report.hot_keys.len());
            }
        }
    }
    expect_that!(key_counts, eq(&vec![0, 0, 0, 0, 32, 0, 0, 0, 0, 32]));
}

proptest! {
    #[test]
    fn the_published_ticket_number_never_decreases(
        events in prop::collection::vec((0..6_u8, 0..9_u64, 0..2000_u64), 1..60),
    ) {
        let mut now = Instant::now();
        let mut follower = follower(now);
        let mut highest = 0;
        for (kind, number, wait_ms) in events {
            now += Duration::from_millis(wait_ms);
            let actions = match kind {
                0 => follower.opened(now),
                1 => follower.lost(now),
                2 => follower.received(state_change(number), now),
                3 => follower.received(services_change(number, number + 1), now),
                _ => follower.tick(now, |_| Vec::new()),
            };
            if let Some(number) = published_number(&actions) {
                prop_assert!(number > highest, "{} after {}", number, highest);
                highest = number;
            }
        }
    }
}
