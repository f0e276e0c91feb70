//! Runs controllers and an entry as real processes: a ticket is filed, distributed and served, also
//! while controllers stop or the table is unavailable.

mod process_support;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use googletest::prelude::*;

use crate::process_support::Program;
use crate::process_support::TestCluster;
use crate::process_support::send_request;
use crate::process_support::serve_target;
use crate::process_support::wait_until;
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

fn serves_all_keys(entry: &Program) -> bool {
    let responses = KEYS.iter().map(|key| {
        let path = format!("/jobs/{key}");
        send_request(entry.addresses[0], "GET", &path, "")
    });
    responses.into_iter().all(|response| response.status == 200)
}

// Returns true if every running controller has read the list of VMs and received the ticket numbers
// of all data centres.
fn all_connected(cluster: &TestCluster) -> bool {
    let running = cluster.controllers.iter().enumerate();
    let mut running = running.filter(|(_, program)| program.is_some());
    running.all(|(index, _)| {
        let status = cluster.status(index);
        let centres = status["data_centres"].as_array();
        let is_complete =
            |centre: &serde_json::Value| centre["listed"] == 1 && centre["heard"] == 1;
        centres.is_some_and(|centres| centres.len() == 3 && centres.iter().all(is_complete))
    })
}

fn in_force(cluster: &TestCluster, number: u64) -> bool {
    let running = cluster.controllers.iter().enumerate();
    let mut running = running.filter(|(_, program)| program.is_some());
    running.all(|(index, _)| cluster.status(index)["number"] == number)
}

#[googletest::test]
fn a_ticket_is_filed_distributed_and_served_while_controllers_stop() {
    let mut cluster = TestCluster::start("whole", &["north", "south", "west"]);
    let targets = [serve_target("a").1, serve_target("b").1];
    wait_until("ready", || {
        send_request(cluster.admin(0), "GET", "/readyz", "").status == 200
    });

    let first = ticket(1, &targets);
    expect_that!(
        cluster.file_ticket(0, &first).body,
        contains_substring("accepted")
    );
    expect_that!(
        cluster.file_ticket(1, &first).body,
        contains_substring("already-accepted")
    );
    let outdated = ticket(1, &targets[..1]);
    expect_that!(cluster.file_ticket(2, &outdated).status, ge(400));
    wait_until("in force on every controller", || in_force(&cluster, 1));
    let entry = cluster.entry("whole");
    wait_until("keys are served", || serves_all_keys(&entry));

    let holder = cluster.holder().expect("one controller holds the group");
    let stopped = cluster.controllers[holder].as_mut().unwrap().stop();
    cluster.controllers[holder] = None;
    expect_that!(stopped.map(|status| status.success()), some(eq(true)));
    expect_that!(serves_all_keys(&entry), eq(true));
    wait_until("another controller holds the group", || {
        cluster.holder().is_some()
    });

    cluster.table.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    thread::sleep(Duration::from_secs(3));
    expect_that!(serves_all_keys(&entry), eq(true));
    let ready = send_request(entry.addresses[1], "GET", "/readyz", "").status;
    expect_that!(ready, eq(200));
}

#[googletest::test]
fn a_controller_that_restarts_during_an_outage_gets_the_state_from_its_peers() {
    let mut cluster = TestCluster::start("outage", &["north", "south", "west"]);
    let targets = [serve_target("a").1];
    wait_until("ready", || {
        send_request(cluster.admin(0), "GET", "/readyz", "").status == 200
    });
    expect_that!(
        cluster.file_ticket(0, &ticket(1, &targets)).body,
        contains_substring("accepted")
    );
    wait_until("in force on every controller", || in_force(&cluster, 1));
    wait_until("every controller is connected to all data centres", || {
        all_connected(&cluster)
    });
    cluster.table.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    cluster.restart("outage", 2);
    wait_until("ready again", || {
        send_request(cluster.admin(2), "GET", "/readyz", "").status == 200
    });
    expect_that!(cluster.status(2)["number"], eq(&serde_json::json!(1)));
}
