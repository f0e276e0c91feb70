//! The authority to send orders, and when its revocation is complete.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use gooseberryloft::ids::BootId;
use gooseberryloft::ids::Term;
use gooseberryloft::ids::VmId;
use gooseberryloft::owner::authority::MAX_TABLE_OUTAGE;
use gooseberryloft::owner::authority::OrderAuthority;
use gooseberryloft::owner::authority::VOUCH_VALIDITY;
use gooseberryloft::owner::message::Member;
use gooseberryloft::owner::message::Membership;
use gooseberryloft::owner::message::TargetBoot;
use gooseberryloft::owner::revocation::Revocation;
use gooseberryloft::owner::revocation::StopReport;
use gooseberryloft::owner::revocation::max_order_effect;

const TICK: Duration = Duration::from_millis(1);

fn member(name: &str) -> Member {
    Member {
        vm: name.into(),
        boot: BootId(1),
        data_centre: "dc1".into(),
    }
}

fn membership() -> Membership {
    Membership {
        term: Term(1),
        members: vec![member("v1"), member("v2"), member("v3")],
        required_vouches: 1,
    }
}

fn stop_report(end: Instant, vouched: &[(&str, Instant)]) -> StopReport {
    let vouched = vouched.iter().map(|(vm, at)| (VmId::from(*vm), *at));
    StopReport {
        end,
        vouched: vouched.collect::<BTreeMap<_, _>>(),
    }
}

#[test]
fn a_vouch_is_valid_from_its_request_and_not_for_barred_targets() {
    let now = Instant::now();
    let barred = TargetBoot {
        target: "t1".into(),
        boot: BootId(1),
    };
    let mut authority = OrderAuthority::new(1);
    authority.record_confirmation(now);
    assert!(!authority.permits(now, None));
    authority.record_vouch(&"v2".into(), now, std::slice::from_ref(&barred));
    assert!(authority.permits(now + VOUCH_VALIDITY - TICK, None));
    assert!(!authority.permits(now + VOUCH_VALIDITY, None));
    assert!(!authority.permits(now, Some(&barred)));
    authority.record_vouch(&"v3".into(), now, &[]);
    assert!(authority.permits(now, Some(&barred)));
}

#[test]
fn vouches_do_not_suffice_after_the_maximum_table_outage() {
    let now = Instant::now();
    let mut authority = OrderAuthority::new(1);
    authority.record_confirmation(now);
    authority.record_vouch(&"v2".into(), now + MAX_TABLE_OUTAGE - TICK, &[]);
    assert!(authority.permits(now + MAX_TABLE_OUTAGE - TICK, None));
    assert!(!authority.permits(now + MAX_TABLE_OUTAGE, None));
}

#[test]
fn a_term_ends_with_the_last_authority_of_its_pending_member() {
    let now = Instant::now();
    let last_write = now - Duration::from_secs(1);
    let mut revocation = Revocation::of_term(now, &membership(), last_write);
    revocation.record_stop(&member("v2"), stop_report(now, &[]));
    // Two pending members may vouch for each other until the maximum table outage.
    assert_eq!(
        revocation.effect_end(),
        Some(now + MAX_TABLE_OUTAGE + max_order_effect())
    );
    revocation.record_stop(&member("v3"), stop_report(now, &[("v1", now - TICK)]));
    assert_eq!(
        revocation.effect_end(),
        Some(now - TICK + max_order_effect())
    );
}

#[test]
fn a_restarted_member_cannot_report_for_its_previous_process() {
    let now = Instant::now();
    let mut revocation = Revocation::of_target(now, &membership());
    let restarted = Member {
        boot: BootId(2),
        ..member("v3")
    };
    revocation.record_stop(&member("v1"), stop_report(now, &[]));
    revocation.record_stop(&restarted, stop_report(now, &[]));
    assert_eq!(
        revocation.effect_end(),
        None,
        "v2 and v3 may vouch for each other"
    );
    revocation.record_stop(&member("v2"), stop_report(now + TICK, &[]));
    assert_eq!(
        revocation.effect_end(),
        Some(now + TICK),
        "nobody vouched for v3"
    );
}
