//! The account of the bytes that a process holds.

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;

use gooseberryloft::memory::Account;
use gooseberryloft::memory::Held;
use gooseberryloft::memory::Reading;
use gooseberryloft::memory::Room;
use gooseberryloft::memory::SMALL_BYTES;
use gooseberryloft::memory::Share;
use gooseberryloft::node::counters::render_account;

const KB: usize = 1 << 10;
const MB: usize = 1 << 20;
const SECOND: Duration = Duration::from_secs(1);

fn response(account: &Account) -> Held {
    account.hold(Share::Responses)
}

/// Returns an account in which 10 MB of bodies and responses fit, and 1 MB for small requests besides.
fn small_account() -> Account {
    Account::new(16 * MB as u64)
}

/// Begins to read a body that is of use for a minute.
fn begin(account: &Account, length: usize, now: Instant) -> Reading {
    account.begin_reading(Some(length), now, now + 60 * SECOND)
}

/// Sends `size` bytes of a body at once.
fn push(reading: &mut Reading, size: usize, now: Instant) {
    expect_that!(reading.reserve(size, now), eq(Room::Held));
    reading.push(&vec![b'x'; size], now);
}

#[googletest::test]
fn a_response_that_does_not_fit_is_refused_until_another_one_is_dropped() {
    let account = Account::new(16 * 1_000 * KB as u64);
    let (mut first, mut second) = (response(&account), response(&account));
    expect_that!(first.grow(1_000 * KB), eq(true));
    expect_that!(second.grow(200 * KB), eq(false));
    drop(first);
    expect_that!(second.grow(200 * KB), eq(true));
}

#[googletest::test]
fn a_small_response_fits_into_a_full_account() {
    let account = Account::new(16 * 100 * KB as u64);
    let mut large = response(&account);
    expect_that!(large.grow(116 * KB), eq(true));
    expect_that!(response(&account).grow(16 * KB), eq(true));
    expect_that!(response(&account).grow(17 * KB), eq(false));
}

#[googletest::test]
fn nothing_is_held_after_all_responses_are_dropped() {
    let account = Account::new(u64::from(u32::MAX));
    for _ in 0..10 {
        let mut response = response(&account);
        for size in [10 * KB, 100 * KB, 50 * KB, 256 * KB] {
            expect_that!(response.grow(size), eq(true));
        }
    }
    expect_that!(account.used(), eq(0));
}

/// A body whose bytes are not counted could exceed the memory of the process.
#[googletest::test]
fn a_body_is_counted_from_its_declared_length_on_and_given_back() {
    let (account, now) = (small_account(), Instant::now());
    let mut first = begin(&account, 8 * MB, now);
    expect_that!(first.reserve(0, now), eq(Room::Held));
    expect_that!(account.used(), eq(8 * MB));
    let mut second = begin(&account, 3 * MB, now);
    expect_that!(second.reserve(0, now), eq(Room::Refused));
    drop(first);
    expect_that!(second.reserve(0, now), eq(Room::Held));
    let body = second.finish();
    expect_that!(account.used(), eq(3 * MB));
    expect_that!(account.readings(), eq(0));
    drop(body);
    expect_that!(account.used(), eq(0));
}

/// Without a reserve, large uploads would cause small requests to be refused.
#[googletest::test]
fn small_bodies_fit_beside_as_many_large_ones_as_possible() {
    let (account, now) = (small_account(), Instant::now());
    let mut large = begin(&account, 10 * MB, now);
    expect_that!(large.reserve(0, now), eq(Room::Held));
    let mut small = begin(&account, SMALL_BYTES, now);
    expect_that!(small.reserve(0, now), eq(Room::Held));
    let mut chunked = account.begin_reading(None, now, now + 60 * SECOND);
    push(&mut chunked, SMALL_BYTES - 4 * KB, now);
    expect_that!(chunked.reserve(SMALL_BYTES, now), eq(Room::Refused));
}

/// The reserve is limited: small requests that are not must not exceed the account.
#[googletest::test]
fn small_bodies_do_not_exceed_the_account() {
    let (account, now) = (small_account(), Instant::now());
    let bodies: Vec<_> = (0..1_000)
        .map(|_| begin(&account, SMALL_BYTES, now))
        .filter_map(|mut body| (body.reserve(0, now) == Room::Held).then_some(body))
        .collect();
    expect_that!(bodies.len(), eq(11 * MB / SMALL_BYTES));
    expect_that!(account.used(), le(account.limit()));
}

/// Callers that stop half-way would otherwise keep the account full until their deadlines.
#[googletest::test]
fn the_body_with_the_least_progress_is_refused_when_the_account_is_short() {
    let (account, start) = (small_account(), Instant::now());
    let mut stopped = begin(&account, 4 * MB, start);
    let mut slow = begin(&account, 4 * MB, start);
    push(&mut stopped, 2 * MB, start);
    push(&mut slow, KB, start);
    let now = start + 3 * SECOND;
    push(&mut slow, 100 * KB, now);
    let mut new = begin(&account, 4 * MB, now);
    expect_that!(new.reserve(0, now), eq(Room::Soon));
    expect_that!(stopped.is_refused(), eq(true));
    expect_that!(slow.is_refused(), eq(false));
    expect_that!(stopped.reserve(KB, now), eq(Room::Refused));
    // Only one is refused until its bytes are back.
    expect_that!(new.reserve(0, now), eq(Room::Soon));
    expect_that!(slow.is_refused(), eq(false));
    drop(stopped);
    expect_that!(new.reserve(0, now), eq(Room::Held));
}

/// A body that progresses well would otherwise be refused again and again in favour of new ones.
#[googletest::test]
fn a_body_that_progresses_is_not_refused_in_favour_of_others() {
    let (account, start) = (small_account(), Instant::now());
    let mut first = begin(&account, 8 * MB, start);
    for step in 0..30 {
        push(&mut first, 200 * KB, start + step * SECOND / 10);
    }
    let now = start + 3 * SECOND;
    let mut new = begin(&account, 8 * MB, now);
    expect_that!(new.reserve(0, now), eq(Room::Refused));
    expect_that!(first.is_refused(), eq(false));
}

/// Refusing bodies that do not hold what is missing would help nobody.
#[googletest::test]
fn no_body_is_refused_if_that_does_not_make_enough_room() {
    let (account, start) = (small_account(), Instant::now());
    let mut stopped = begin(&account, 3 * MB, start);
    let mut running = begin(&account, 7 * MB, start);
    expect_that!(stopped.reserve(0, start), eq(Room::Held));
    let now = start + SECOND;
    push(&mut running, 2 * MB, now);
    let mut large = begin(&account, 4 * MB, now);
    expect_that!(large.reserve(0, now), eq(Room::Refused));
    expect_that!(stopped.is_refused(), eq(false));
    expect_that!(begin(&account, 3 * MB, now).reserve(0, now), eq(Room::Soon));
    expect_that!(stopped.is_refused(), eq(true));
}

/// A body that cannot end before its deadline occupies the account for nothing.
#[googletest::test]
fn a_body_that_cannot_end_in_time_is_refused_in_favour_of_others() {
    let (account, start) = (small_account(), Instant::now());
    let mut first = account.begin_reading(Some(9 * MB), start, start + 2 * SECOND);
    for step in 0..10 {
        push(&mut first, 150 * KB, start + step * SECOND / 10);
    }
    let now = start + SECOND;
    expect_that!(begin(&account, 8 * MB, now).reserve(0, now), eq(Room::Soon));
    expect_that!(first.is_refused(), eq(true));
}

/// The rate of a body that has just begun is not known.
#[googletest::test]
fn a_body_that_has_just_begun_is_not_refused_in_favour_of_others() {
    let (account, start) = (small_account(), Instant::now());
    let mut first = begin(&account, 8 * MB, start);
    expect_that!(first.reserve(0, start), eq(Room::Held));
    let now = start + SECOND / 10;
    expect_that!(
        begin(&account, 8 * MB, now).reserve(0, now),
        eq(Room::Refused)
    );
    expect_that!(first.is_refused(), eq(false));
}

/// Operators could not see how much of the account is in use.
#[googletest::test]
fn the_gauges_show_what_is_held() {
    let (account, now) = (small_account(), Instant::now());
    let mut body = begin(&account, 8 * MB, now);
    expect_that!(body.reserve(0, now), eq(Room::Held));
    let text = render_account(&account);
    for sample in [
        "held_bytes{share=\"small\"} 0",
        "held_bytes{share=\"bodies\"} 8388608",
        "held_bytes{share=\"responses\"} 0",
        "held_bytes_limit 11534336",
        "bodies_being_read 1",
    ] {
        let line = format!("gooseberryloft_{sample}\n");
        expect_that!(text, contains_substring(line));
    }
}

/// The fingerprint and the target depend on all bytes in their order.
#[googletest::test]
fn a_body_consists_of_the_bytes_that_were_read() {
    let (account, now) = (small_account(), Instant::now());
    for declared in [None, Some(300 * KB)] {
        let mut reading = account.begin_reading(declared, now, now + SECOND);
        let bytes: Vec<u8> = (0..300 * KB).map(|index| (index % 251) as u8).collect();
        for piece in bytes.chunks(7_001) {
            expect_that!(reading.reserve(piece.len(), now), eq(Room::Held));
            reading.push(piece, now);
        }
        expect_that!(account.used(), le(300 * KB + SMALL_BYTES));
        let body = reading.finish().expect("the body was not returned");
        let read: Vec<u8> = body.segments().flatten().copied().collect();
        expect_that!(read == bytes, eq(true));
        expect_that!(body.len(), eq(bytes.len()));
    }
}
