//! Controllers and an entry as real processes: a ticket from filing to routing, and what stops.

mod process_support;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use googletest::prelude::*;

use crate::process_support::Program;
use crate::process_support::Site;
use crate::process_support::ask;
use crate::process_support::serve_target;
use crate::process_support::wait_for;
use gooseberryloft::standin::Faults;

const KEYS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn ticket(number: u64, targets: &[SocketAddr]) -> String {
    let base = number - 1;
    let mut text = format!(
        "[ticket]\nnumber = {number}\nbase = {base}\n[service jobs]\npath = /jobs\nkey = path\n\
         shards = 64\nidempotent = GET HEAD\ndeadline = 5 s\n"
    );
    for (index, address) in targets.iter().enumerate() {
        text += &format!(
            "[target jobs js-{index}]\naddress = {address}\ndata_centre = north\nslots = 6\n\
             connections = 130\nchecks_term = yes\n"
        );
    }
    text
}

fn serves(entry: &Program) -> bool {
    let answers = KEYS.iter().map(|key| {
        let path = format!("/jobs/{key}");
        ask(entry.addresses[0], "GET", &path, "")
    });
    answers.into_iter().all(|answer| answer.status == 200)
}

// Every controller has read the list of VMs and heard of every data centre.
fn all_linked(site: &Site) -> bool {
    let running = site.controllers.iter().enumerate();
    let mut running = running.filter(|(_, program)| program.is_some());
    running.all(|(index, _)| {
        let status = site.status(index);
        let centres = status["data_centres"].as_array();
        let heard = |centre: &serde_json::Value| centre["listed"] == 1 && centre["heard"] == 1;
        centres.is_some_and(|centres| centres.len() == 3 && centres.iter().all(heard))
    })
}

fn in_force(site: &Site, number: u64) -> bool {
    let running = site.controllers.iter().enumerate();
    let mut running = running.filter(|(_, program)| program.is_some());
    running.all(|(index, _)| site.status(index)["number"] == number)
}

#[googletest::test]
fn a_ticket_is_filed_spread_and_served_while_controllers_stop() {
    let mut site = Site::start("whole", &["north", "south", "west"]);
    let targets = [serve_target("a").1, serve_target("b").1];
    wait_for("ready", || {
        ask(site.admin(0), "GET", "/readyz", "").status == 200
    });

    let first = ticket(1, &targets);
    expect_that!(site.file(0, &first).body, contains_substring("accepted"));
    expect_that!(
        site.file(1, &first).body,
        contains_substring("already-accepted")
    );
    let late = ticket(1, &targets[..1]);
    expect_that!(site.file(2, &late).status, ge(400));
    wait_for("in force on every controller", || in_force(&site, 1));
    let entry = site.entry("whole");
    wait_for("keys are served", || serves(&entry));

    let holder = site.holder().expect("one controller holds the group");
    let stopped = site.controllers[holder].as_mut().unwrap().stop();
    site.controllers[holder] = None;
    expect_that!(stopped.map(|status| status.success()), some(eq(true)));
    expect_that!(serves(&entry), eq(true));
    wait_for("another controller holds the group", || {
        site.holder().is_some()
    });

    site.table.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    thread::sleep(Duration::from_secs(3));
    expect_that!(serves(&entry), eq(true));
    let ready = ask(entry.addresses[1], "GET", "/readyz", "").status;
    expect_that!(ready, eq(200));
}

#[googletest::test]
fn a_controller_that_restarts_during_an_outage_is_ready_with_what_was_in_force() {
    let mut site = Site::start("outage", &["north", "south", "west"]);
    let targets = [serve_target("a").1];
    wait_for("ready", || {
        ask(site.admin(0), "GET", "/readyz", "").status == 200
    });
    expect_that!(
        site.file(0, &ticket(1, &targets)).body,
        contains_substring("accepted")
    );
    wait_for("in force on every controller", || in_force(&site, 1));
    wait_for("every controller knows the others", || all_linked(&site));
    site.table.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    site.restart("outage", 2);
    wait_for("ready again", || {
        ask(site.admin(2), "GET", "/readyz", "").status == 200
    });
    expect_that!(site.status(2)["number"], eq(&serde_json::json!(1)));
}
