//! The memory of buffered responses.

use googletest::prelude::*;

use gooseberryloft::node::held_bytes::ByteAccount;

const KB: usize = 1 << 10;

#[googletest::test]
fn a_response_that_does_not_fit_is_refused_until_another_one_is_dropped() {
    let account = ByteAccount::new(16 * 1_000 * KB as u64);
    let (mut first, mut second) = (account.hold(), account.hold());
    expect_that!(first.grow(1_000 * KB), eq(true));
    expect_that!(second.grow(200 * KB), eq(false));
    drop(first);
    expect_that!(second.grow(200 * KB), eq(true));
}

#[googletest::test]
fn a_small_response_fits_into_a_full_account() {
    let account = ByteAccount::new(16 * 100 * KB as u64);
    let mut large = account.hold();
    expect_that!(large.grow(116 * KB), eq(true));
    expect_that!(account.hold().grow(16 * KB), eq(true));
    expect_that!(account.hold().grow(17 * KB), eq(false));
}

#[googletest::test]
fn nothing_is_held_after_all_responses_are_dropped() {
    let account = ByteAccount::new(u64::from(u32::MAX));
    for _ in 0..10 {
        let mut response = account.hold();
        for size in [10 * KB, 100 * KB, 50 * KB, 256 * KB] {
            expect_that!(response.grow(size), eq(true));
        }
    }
    expect_that!(account.used(), eq(0));
}
