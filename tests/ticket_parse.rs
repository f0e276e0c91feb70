//! Parsing and validation of tickets.

use googletest::prelude::*;
use proptest::prelude::*;

use gooseberryloft::ids::TicketNumber;
use gooseberryloft::ticket;
use gooseberryloft::ticket::InForce;
use gooseberryloft::ticket::KeySource;
use gooseberryloft::ticket::TargetState;

const TICKET: &str = "\
[ticket]
number = 2
base = 1
[service job-status]
path = /jobs
key = path
shards = 1024
idempotent = GET HEAD
deadline = 2 s
[target job-status js-1]
address = 127.0.0.1:9001
data_centre = ikeja
slots = 6
connections = 130
checks_term = yes
[target job-status js-2]
address = 127.0.0.1:9002
data_centre = onitsha
slots = 6
connections = 130
checks_term = no
state = leaving
[remove old]
";

fn faults(text: &str) -> Vec<String> {
    match ticket::parse(text) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.to_string().lines().map(str::to_owned).collect(),
    }
}

fn change_faults(text: &str) -> Vec<String> {
    let first = TICKET.replace("[remove old]\n", "");
    let state = InForce::default().apply(&ticket::parse(&first).expect("valid"));
    let next = ticket::parse(text).expect("valid by itself");
    let faults = ticket::check::change(&state, &next);
    faults
        .into_iter()
        .map(|f| format!("{}: {}", f.section, f.problem))
        .collect()
}

#[googletest::test]
fn all_values_of_a_ticket_are_parsed() {
    let ticket = ticket::parse(TICKET).expect("the ticket is valid");
    let service = &ticket.services[&"job-status".into()];
    let keying = service.keying.as_ref().expect("the service is keyed");
    expect_that!(ticket.number, eq(TicketNumber(2)));
    expect_that!(keying.source, eq(&KeySource::Path));
    expect_that!((keying.shards, keying.groups), eq((1024, 1)));
    expect_that!(service.deadline_ms, eq(2_000));
    expect_that!(
        service.targets[&"js-2".into()].state,
        eq(TargetState::Leaving)
    );
    expect_that!(ticket.removed, elements_are![eq(&"old".into())]);
}

#[googletest::test]
fn all_faults_of_a_ticket_are_listed_at_once() {
    let text = TICKET
        .replace("number = 2", "number = 1")
        .replace("shards = 1024", "shards = 1000")
        .replace("127.0.0.1:9002", "127.0.0.1:9001")
        .replace(
            "slots = 6\nconnections = 130\nchecks_term = no",
            "slots = 0\ncolour = red",
        )
        .replace(
            "[remove old]",
            "[target billing b-1]\naddress = x\n[remove a b]",
        );
    let expected = [
        "ticket:2: [ticket] number: 1 is not above the base 1",
        "ticket:7: [service job-status] shards: `1000` is not valid",
        "ticket:19: [target job-status js-2] slots: `0` is not valid",
        "ticket:20: [target job-status js-2] colour: unknown key",
        "ticket:16: [target job-status js-2] connections: missing",
        "ticket:16: [target job-status js-2] checks_term: missing",
        "ticket:22: [target billing b-1] the ticket has no service billing",
        "ticket:23: [target billing b-1] address: `x` is not valid",
        "[target billing b-1] data_centre: missing",
        "[target billing b-1] slots: missing",
        "[target billing b-1] connections: missing",
        "[target billing b-1] checks_term: missing",
        "ticket:24: [remove a b] unknown section",
    ];
    let found = faults(&text);
    expect_that!(found, len(eq(expected.len())));
    for fault in expected {
        expect_that!(found, contains(contains_substring(fault)));
    }
}

#[googletest::test]
fn shared_addresses_and_uncovered_groups_are_refused() {
    let shared = TICKET.replace("127.0.0.1:9002", "127.0.0.1:9001");
    expect_that!(
        faults(&shared),
        elements_are![contains_substring(
            "ticket:17: [target job-status js-2] address: target job-status js-1 has the same"
        )]
    );
    let uncovered = TICKET.replace("shards = 1024", "shards = 1024\ngroups = 2");
    expect_that!(
        faults(&uncovered),
        elements_are![contains_substring("group 1 has no serving target")]
    );
}

#[googletest::test]
fn a_change_keeps_shards_groups_addresses_and_paths() {
    let next = TICKET.replace("number = 2\nbase = 1", "number = 3\nbase = 2");
    expect_that!(
        change_faults(&next),
        elements_are![contains_substring("not in force")]
    );
    let next = next.replace("[remove old]\n", "");
    expect_that!(change_faults(&next), is_empty());
    let shards = next.replace("shards = 1024", "shards = 2048");
    expect_that!(
        change_faults(&shards),
        elements_are![contains_substring("1024 shards")]
    );
    let unkeyed = next.replace("key = path\nshards = 1024\n", "");
    expect_that!(
        change_faults(&unkeyed),
        elements_are![contains_substring("divided by")]
    );
    let moved = next.replace("127.0.0.1:9001", "127.0.0.1:9009");
    expect_that!(
        change_faults(&moved),
        elements_are![contains_substring("127.0.0.1:9001")]
    );
    let duplicate = next.replace("job-status", "jobs-too");
    expect_that!(
        change_faults(&duplicate),
        unordered_elements_are![
            contains_substring("service job-status has the same path"),
            contains_substring("target job-status js-1 has the same address"),
            contains_substring("target job-status js-2 has the same address"),
        ]
    );
}

#[googletest::test]
fn an_oversized_text_is_refused_before_parsing() {
    let text = "[ticket]\n".repeat(ticket::MAX_TICKET_BYTES / 9 + 1);
    expect_that!(
        faults(&text)[0],
        contains_substring("larger than 4194304 bytes")
    );
}

proptest! {
    #[test]
    fn arbitrary_text_never_panics(text in "(?s).{0,400}") {
        faults(&text);
    }

    #[test]
    fn mutated_tickets_never_panic_and_list_bounded_faults(
        insertions in prop::collection::vec((0..TICKET.len(), "[ -~\n]{0,6}"), 1..12),
    ) {
        let mut text = TICKET.to_owned();
        for (at, insert) in insertions {
            text.insert_str(at.min(text.len()), &insert);
        }
        let bytes: usize = faults(&text).iter().map(String::len).sum();
        prop_assert!(bytes < 64 << 10);
    }
}

#[googletest::test]
fn errors_of_long_names_and_many_lines_have_bounded_size() {
    let long = "x".repeat(ticket::MAX_TICKET_BYTES / 2);
    let keys: String = (0..1_000).map(|i| format!("k{i}\n")).collect();
    let lines = "[a]\n".repeat(ticket::MAX_TICKET_BYTES / 4);
    for text in [format!("[{long}]\n{keys}"), format!("{long} = 1\n"), lines] {
        let error_bytes: usize = faults(&text).iter().map(String::len).sum();
        expect_that!(error_bytes, all![gt(0), lt(256 << 10)]);
    }
}
