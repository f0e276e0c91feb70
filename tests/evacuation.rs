//! Which requests may be sent to data centres that the operators evacuate, under the failures listed
//! in `docs/design/load-and-evacuation.md`.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::evacuation::Access;
use gooseberryloft::evacuation::Change;
use gooseberryloft::evacuation::ChangeKind;
use gooseberryloft::evacuation::Evacuations;
use gooseberryloft::evacuation::Merged;
use gooseberryloft::evacuation::Position;
use gooseberryloft::evacuation::Rows;
use gooseberryloft::ids::DataCentre;
use gooseberryloft::platform::Generation;

const MS: fn(u64) -> Duration = Duration::from_millis;
const BOUND: Duration = Duration::from_secs(5);

fn at(generation: u64, version: u64) -> Position {
    Position {
        generation: Generation(generation),
        version,
    }
}

fn whole(names: &[&str]) -> Rows {
    Rows::Whole(names.iter().map(|name| DataCentre::from(*name)).collect())
}

fn changed(name: &str, is_requested: bool) -> Rows {
    Rows::Changed([(DataCentre::from(name), is_requested)].into())
}

fn change(name: &str, kind: ChangeKind) -> Change {
    Change {
        data_centre: DataCentre::from(name),
        kind,
    }
}

fn access(evacuations: &Evacuations, name: &str, now: Instant) -> Access {
    evacuations.access(&DataCentre::from(name), now)
}

/// Returns the state of a node that read the table without evacuations at `now`.
fn reader(now: Instant) -> Evacuations {
    let mut evacuations = Evacuations::new(Some(BOUND));
    evacuations.record_rows(at(1, 10), whole(&[]), now);
    evacuations
}

#[googletest::test]
fn keyed_requests_end_half_of_the_bound_after_the_node_learned_of_it() {
    let now = Instant::now();
    let mut evacuations = reader(now);
    let changes = evacuations.record_rows(at(1, 11), changed("b", true), now + MS(900));
    expect_that!(changes, eq(&vec![change("b", ChangeKind::Begins)]));
    expect_that!(access(&evacuations, "a", now + MS(900)), eq(Access::All));
    expect_that!(
        access(&evacuations, "b", now + MS(3_390)),
        eq(Access::Keyed)
    );
    // The store does not answer after that; the last state applies without time limit.
    expect_that!(access(&evacuations, "b", now + MS(3_400)), eq(Access::None));
    expect_that!(
        access(&evacuations, "b", now + MS(600_000)),
        eq(Access::None)
    );
    let ended = evacuations.expire(now + MS(3_400));
    expect_that!(ended, eq(&vec![change("b", ChangeKind::KeyedEnds)]));
    expect_that!(evacuations.expire(now + MS(3_500)), is_empty());
}

// A node that the store refused may learn of an evacuation long after its acknowledgement.
#[googletest::test]
fn keyed_requests_end_within_the_bound_if_the_node_learns_late() {
    let now = Instant::now();
    let mut evacuations = reader(now);
    evacuations.record_rows(at(1, 11), whole(&["b"]), now + MS(4_000));
    expect_that!(
        access(&evacuations, "b", now + MS(4_400)),
        eq(Access::Keyed)
    );
    expect_that!(access(&evacuations, "b", now + MS(4_500)), eq(Access::None));
    let mut late = reader(now);
    late.record_rows(at(1, 11), whole(&["b"]), now + MS(9_000));
    expect_that!(access(&late, "b", now + MS(9_000)), eq(Access::None));
}

#[googletest::test]
fn a_node_that_starts_during_an_evacuation_sends_no_keyed_requests() {
    let now = Instant::now();
    let mut evacuations = Evacuations::new(Some(BOUND));
    evacuations.record_rows(at(1, 11), whole(&["b"]), now);
    expect_that!(access(&evacuations, "b", now), eq(Access::None));
}

// The store refuses this node; other nodes' heartbeats show evacuations, and how recent that is.
#[googletest::test]
fn reports_of_other_nodes_replace_older_states_only() {
    let now = Instant::now();
    let (mut sender, mut receiver) = (reader(now), reader(now));
    let before = sender.report(now).expect("a report");
    sender.record_rows(at(1, 11), changed("b", true), now + MS(4_000));
    let during = sender.report(now + MS(4_300)).expect("a report");
    // Heartbeats while nothing changes show that the receiver's state is current.
    expect_that!(receiver.merge(&before, now + MS(4_000)), eq(&Merged::Known));
    let begun = Merged::Applied(vec![change("b", ChangeKind::Begins)]);
    expect_that!(receiver.merge(&during, now + MS(4_300)), eq(&begun));
    expect_that!(receiver.merge(&before, now + MS(4_400)), eq(&Merged::Known));
    expect_that!(access(&receiver, "b", now + MS(6_790)), eq(Access::Keyed));
    expect_that!(access(&receiver, "b", now + MS(6_800)), eq(Access::None));
    sender.record_rows(at(1, 12), changed("b", false), now + MS(5_000));
    let after = sender.report(now + MS(5_000)).expect("a report");
    let ended = Merged::Applied(vec![change("b", ChangeKind::Ends)]);
    expect_that!(receiver.merge(&after, now + MS(5_000)), eq(&ended));
}

#[googletest::test]
fn changed_rows_apply_to_the_newer_state_of_a_heartbeat() {
    let now = Instant::now();
    let (mut sender, mut receiver) = (reader(now), reader(now));
    sender.record_rows(at(1, 12), whole(&["b", "c"]), now);
    receiver.merge(&sender.report(now).expect("a report"), now);
    // The poll began at 10 and returns all that changed since: `b` at 11, and the end of `c` at 13.
    let rows = [
        (DataCentre::from("b"), true),
        (DataCentre::from("c"), false),
    ];
    let changes = receiver.record_rows(at(1, 13), Rows::Changed(rows.into()), now);
    expect_that!(changes, eq(&vec![change("c", ChangeKind::Ends)]));
    expect_that!(access(&receiver, "b", now), eq(Access::Keyed));
}

#[googletest::test]
fn a_list_that_is_too_long_for_a_datagram_has_to_be_read() {
    let now = Instant::now();
    let (mut sender, mut receiver) = (reader(now), reader(now));
    let names: Vec<_> = (0..40).map(|number| format!("zone-{number}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    sender.record_rows(at(1, 11), whole(&names), now);
    let report = sender.report(now).expect("a report");
    expect_that!(report.data_centres, none());
    expect_that!(receiver.merge(&report, now), eq(&Merged::Incomplete));
    receiver.record_rows(at(1, 11), whole(&names), now);
    expect_that!(receiver.merge(&report, now), eq(&Merged::Known));
}

#[googletest::test]
fn evacuations_of_two_data_centres_are_independent() {
    let now = Instant::now();
    let mut evacuations = reader(now);
    evacuations.record_rows(at(1, 11), changed("b", true), now);
    evacuations.record_rows(at(1, 12), changed("c", true), now + MS(2_000));
    expect_that!(access(&evacuations, "b", now + MS(2_500)), eq(Access::None));
    expect_that!(
        access(&evacuations, "c", now + MS(2_500)),
        eq(Access::Keyed)
    );
    evacuations.record_rows(at(1, 13), changed("b", false), now + MS(2_500));
    expect_that!(access(&evacuations, "b", now + MS(2_500)), eq(Access::All));
    // Requested again, it is new.
    evacuations.record_rows(at(1, 14), changed("b", true), now + MS(3_000));
    expect_that!(
        access(&evacuations, "b", now + MS(5_400)),
        eq(Access::Keyed)
    );
    expect_that!(access(&evacuations, "c", now + MS(5_400)), eq(Access::None));
}

// The table is restored from a copy without the row, which the operator writes again.
#[googletest::test]
fn an_evacuation_survives_a_restore_until_its_row_is_written_again() {
    let now = Instant::now();
    let mut evacuations = reader(now);
    evacuations.record_rows(at(1, 11), changed("b", true), now);
    let restored = evacuations.record_rows(at(2, 5), whole(&[]), now + MS(3_000));
    expect_that!(restored, is_empty());
    evacuations.record_rows(at(1, 12), changed("b", false), now + MS(3_100));
    expect_that!(access(&evacuations, "b", now + MS(3_100)), eq(Access::None));
    let report = evacuations.report(now + MS(3_100)).expect("a report");
    expect_that!(report.data_centres, some(is_empty()));
    let mut lost = reader(now);
    lost.record_rows(at(1, 11), changed("b", true), now);
    lost.merge(&report, now + MS(3_100));
    evacuations.record_rows(at(2, 6), changed("b", true), now + MS(5_000));
    for (state, ends) in [(&mut evacuations, false), (&mut lost, true)] {
        let changes = state.expire(now + MS(7_100));
        expect_that!(changes.contains(&change("b", ChangeKind::Ends)), eq(ends));
    }
    expect_that!(access(&evacuations, "b", now + MS(7_100)), eq(Access::None));
    expect_that!(access(&lost, "b", now + MS(7_100)), eq(Access::All));
}

// After a restore, a removal by the operator must not wait for rows that are written again.
#[googletest::test]
fn a_removal_after_a_restore_ends_the_evacuation_at_once() {
    let now = Instant::now();
    let mut evacuations = reader(now);
    evacuations.record_rows(at(1, 11), changed("b", true), now);
    evacuations.record_rows(at(2, 5), whole(&[]), now);
    let changes = evacuations.record_rows(at(2, 6), changed("b", false), now);
    expect_that!(changes, eq(&vec![change("b", ChangeKind::Ends)]));
}

#[googletest::test]
fn rows_are_ignored_without_a_stated_bound() {
    let now = Instant::now();
    let mut evacuations = Evacuations::new(None);
    let changes = evacuations.record_rows(at(1, 11), whole(&["b"]), now);
    expect_that!(changes, is_empty());
    expect_that!(access(&evacuations, "b", now), eq(Access::All));
    expect_that!(evacuations.report(now), none());
    let mut sender = reader(now);
    sender.record_rows(at(1, 11), whole(&["b"]), now);
    let report = sender.report(now).expect("a report");
    expect_that!(evacuations.merge(&report, now), eq(&Merged::Known));
}

#[googletest::test]
fn other_data_centres_get_reports_only_during_and_soon_after_an_evacuation() {
    let now = Instant::now();
    let mut evacuations = reader(now);
    expect_that!(evacuations.remote_report(now), none());
    evacuations.record_rows(at(1, 11), changed("b", true), now);
    expect_that!(
        evacuations.remote_report(now + MS(90_000)),
        some(anything())
    );
    evacuations.record_rows(at(1, 12), changed("b", false), now + MS(90_000));
    expect_that!(
        evacuations.remote_report(now + MS(100_000)),
        some(anything())
    );
    expect_that!(evacuations.remote_report(now + MS(120_000)), none());
}
