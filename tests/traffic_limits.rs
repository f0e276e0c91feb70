//! The maximum number of callers, derived from the limit on open files.

use googletest::prelude::*;

use gooseberryloft::traffic::limits::callers_for;
use gooseberryloft::traffic::limits::open_files;

const LIMITS: &str = "\
Limit                     Soft Limit           Hard Limit           Units
Max processes             63432                63432                processes
Max open files            1024                 524288               files
Max locked memory         8388608              8388608              bytes
";

#[googletest::test]
fn the_soft_limit_is_parsed() {
    expect_that!(open_files(LIMITS), some(eq(1024)));
    let unlimited = LIMITS.replace("1024 ", "unlimited ");
    expect_that!(open_files(&unlimited), none());
    expect_that!(open_files(""), none());
}

#[googletest::test]
fn the_connections_of_callers_and_targets_fit_the_limit() {
    expect_that!(callers_for(Some(1024)), eq(384));
    expect_that!(callers_for(Some(100)), eq(64));
    expect_that!(callers_for(None), eq(32_768));
}
