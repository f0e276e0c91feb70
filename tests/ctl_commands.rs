//! Tests of the command-line tool against the operator API, on real sockets.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;

use async_std::channel::Receiver;
use async_std::channel::unbounded;
use async_std::task;
use googletest::prelude::*;
use proptest::prelude::*;

use gooseberryloft::control::ControlRequest;
use gooseberryloft::control::DataCentreStatus;
use gooseberryloft::control::Handle;
use gooseberryloft::control::KeyOwner;
use gooseberryloft::control::Status;
use gooseberryloft::ids::Fence;
use gooseberryloft::ids::GroupId;
use gooseberryloft::ids::Shard;
use gooseberryloft::ids::TicketNumber;
use gooseberryloft::ids::key_hash;
use gooseberryloft::operator;
use gooseberryloft::operator::OperatorApi;
use gooseberryloft::standin::FakeTable;
use gooseberryloft::standin::Faults;
use gooseberryloft::state_sync::VmTicketNumber;
use gooseberryloft::ticket;

const TOKEN: &str = "operators-and-peers-share-this";
const TICKET: &str = "\
[ticket]
number = 1
base = 0
[service jobs]
path = /jobs
key = header x-shop
shards = 64
idempotent = GET
deadline = 2 s
[target jobs js-1]
address = 127.0.0.1:9001
data_centre = ikeja
slots = 6
connections = 130
checks_term = yes
";

struct TestServer {
    table: Arc<FakeTable>,
    address: SocketAddr,
    folder: PathBuf,
}

struct CommandOutput {
    code: i32,
    out: String,
    err: String,
}

impl TestServer {
    fn start(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener.local_addr().expect("bound");
        let table = Arc::new(FakeTable::default());
        let (sender, receiver) = unbounded();
        task::spawn(fake_control(table.clone(), receiver));
        let operators = OperatorApi {
            platform: table.clone(),
            handle: Handle::new(sender),
            token: TOKEN.to_owned(),
        };
        task::spawn(operator::run(listener.into(), operators));
        let folder =
            std::env::temp_dir().join(format!("gooseberryloft-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder can be made");
        let server = Self {
            table,
            address,
            folder,
        };
        server.write("vm.ini", &settings(address, TOKEN));
        server
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path
    }

    fn ctl(&self, args: &[&str]) -> CommandOutput {
        let output = Command::new(env!("CARGO_BIN_EXE_gooseberryloft-ctl"))
            .args(args)
            .current_dir(&self.folder)
            .output()
            .expect("the program runs");
        CommandOutput {
            code: output.status.code().unwrap_or(-1),
            out: String::from_utf8_lossy(&output.stdout).into_owned(),
            err: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

impl Drop for TestServer {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn settings(admin: SocketAddr, token: &str) -> String {
    format!(
        "[vm]\nname = vm-1\ndata_centre = ikeja\n[entry]\nlisten = 127.0.0.1:1\n\
         admin = 127.0.0.1:2\ncontrollers = 127.0.0.1:3\n[controller]\npeer = 127.0.0.1:3\n\
         admin = {admin}\n[platform]\ntable = 127.0.0.1:4\nobjects = 127.0.0.1:5\n\
         vms = 127.0.0.1:6\n[security]\ntoken = {token}\n"
    )
}

// Responds like a control thread whose two VMs have both applied the current state of the table.
async fn fake_control(table: Arc<FakeTable>, receiver: Receiver<ControlRequest>) {
    while let Ok(request) = receiver.recv().await {
        let state = ticket::load(&*table).await.expect("the table is up").state;
        match request {
            ControlRequest::Show(reply) => drop(reply.send(state).await),
            ControlRequest::Status(reply) => drop(reply.send(status(state.number)).await),
            ControlRequest::Owner {
                service,
                key_hash,
                reply,
            } => {
                let keying = state.services.get(&service).and_then(|s| s.keying.as_ref());
                let owner = keying.map(|keying| KeyOwner {
                    group: GroupId { service, index: 0 },
                    shard: keying.shard_of(key_hash),
                    fence: Fence(7),
                    target: Some("js-1".into()),
                });
                drop(reply.send(owner).await);
            }
            ControlRequest::Accepted(_) => {}
            ControlRequest::Ready(reply) => drop(reply.send(true).await),
        }
    }
}

fn status(number: TicketNumber) -> Status {
    let vm = |name: &str| VmTicketNumber {
        number,
        vm: name.into(),
    };
    Status {
        vm: "vm-1".into(),
        number,
        data_centres: vec![DataCentreStatus {
            data_centre: "ikeja".into(),
            listed: 2,
            heard: 2,
            number,
            vms: vec![vm("vm-1"), vm("vm-2")],
        }],
        groups: Vec::new(),
    }
}

fn send_raw(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the server listens");
    stream
        .write_all(request.as_bytes())
        .expect("the request is sent");
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    response
}

#[googletest::test]
fn a_ticket_is_filed_once_and_read_back() {
    let server = TestServer::start("file");
    server.write("1.ini", TICKET);
    let filed = server.ctl(&["file", "1.ini", "--settings", "vm.ini", "--wait"]);
    expect_that!(
        filed.out,
        contains_substring("ticket 1 is accepted"),
        "{}",
        filed.err
    );
    expect_that!(
        filed.out,
        contains_substring("ticket 1 is in force on every VM")
    );
    expect_that!(filed.code, eq(0));
    let again = server.ctl(&["file", "1.ini", "--settings", "vm.ini"]);
    expect_that!(again.out, contains_substring("was accepted already"));
    expect_that!(again.code, eq(0));
    let shown = server.ctl(&["show", "--settings", "vm.ini"]);
    expect_that!(shown.out, contains_substring("number = 2\nbase = 1\n"));
    expect_that!(ticket::parse(&shown.out), ok(anything()));
    let first = server.ctl(&["show", "1", "--settings", "vm.ini"]);
    expect_that!(first.out, eq(TICKET));
    let owner = server.ctl(&[
        "owner",
        "jobs",
        "shop 7/ü",
        "--json",
        "--settings",
        "vm.ini",
    ]);
    let found: KeyOwner = serde_json::from_str(&owner.out).expect("the output is JSON");
    let shard = Shard((key_hash("shop 7/ü".as_bytes()) % 64) as u32);
    expect_that!(found.shard, eq(shard));
    let status = server.ctl(&["status", "--settings", "vm.ini"]);
    expect_that!(status.out, contains_substring("number in force on vm-1: 1"));
}

#[googletest::test]
fn refusals_and_faults_have_exit_codes_and_remedies() {
    let server = TestServer::start("refuse");
    server.write("1.ini", TICKET);
    server.ctl(&["file", "1.ini", "--settings", "vm.ini"]);
    server.write("race.ini", &TICKET.replace("number = 1", "number = 2"));
    let raced = server.ctl(&["file", "race.ini", "--settings", "vm.ini"]);
    expect_that!(raced.code, eq(1));
    expect_that!(
        raced.err,
        contains_substring("builds on 0, but 1 is in force")
    );
    let next = TICKET.replace("number = 1\nbase = 0", "number = 2\nbase = 1");
    server.write("shards.ini", &next.replace("shards = 64", "shards = 128"));
    let shards = server.ctl(&["file", "shards.ini", "--settings", "vm.ini"]);
    expect_that!(shards.code, eq(1));
    expect_that!(
        shards.err,
        contains_substring("shards.ini: [service jobs] key:")
    );
    server.write("bad.ini", &TICKET.replace("slots = 6", "slots = six"));
    let bad = server.ctl(&["check", "bad.ini"]);
    expect_that!(bad.code, eq(2));
    expect_that!(
        bad.err,
        contains_substring("bad.ini:13: [target jobs js-1] slots: `six`")
    );
    server.write(
        "other.ini",
        &settings(server.address, "another-token-altogether"),
    );
    let token = server.ctl(&["status", "--settings", "other.ini"]);
    expect_that!(token.code, eq(1));
    expect_that!(token.err, contains_substring("wrong or missing token"));
    let absent = server.ctl(&[
        "status",
        "--settings",
        "vm.ini",
        "--controller",
        "127.0.0.1:1",
    ]);
    expect_that!(absent.code, eq(3));
    let missing = server.ctl(&["show", "9", "--settings", "vm.ini"]);
    expect_that!(missing.err, contains_substring("no ticket has that number"));
}

#[googletest::test]
fn the_second_controller_is_called_when_the_first_is_unreachable() {
    let server = TestServer::start("second");
    server.write("1.ini", TICKET);
    let second = server.address.to_string();
    let named = ["--controller", "127.0.0.1:1", "--controller", &second];
    let filed = server.ctl(&[&["file", "1.ini", "--settings", "vm.ini"][..], &named].concat());
    expect_that!(filed.code, eq(0));
}

#[googletest::test]
fn a_reader_that_closes_the_pipe_early_is_no_failure() {
    let server = TestServer::start("pipe");
    for args in [
        &["show"][..],
        &["show", "--json"],
        &["status"],
        &["status", "--json"],
    ] {
        let mut child = Command::new(env!("CARGO_BIN_EXE_gooseberryloft-ctl"))
            .args(args)
            .args(["--settings", "vm.ini"])
            .current_dir(&server.folder)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        drop(child.stdout.take());
        let output = child.wait_with_output().expect("the program ends");
        expect_that!(output.status.code(), some(eq(0)), "{args:?}");
        expect_that!(String::from_utf8_lossy(&output.stderr), eq(""));
    }
}

#[googletest::test]
fn cut_and_lengthless_tickets_change_nothing() {
    let server = TestServer::start("cut");
    let head = format!(
        "POST /operator/tickets HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\
         x-gooseberryloft-token: {TOKEN}\r\n"
    );
    let cut = send_raw(
        server.address,
        &format!("{head}content-length: 9999\r\n\r\n{TICKET}"),
    );
    expect_that!(cut, not(contains_substring("200 OK")));
    let chunked = format!(
        "{head}transfer-encoding: chunked\r\n\r\n{:x}\r\n{TICKET}\r\n0\r\n\r\n",
        TICKET.len()
    );
    expect_that!(
        send_raw(server.address, &chunked),
        contains_substring("411 Length Required")
    );
    let large = send_raw(
        server.address,
        &format!("{head}content-length: 99999999\r\n\r\n"),
    );
    expect_that!(large, contains_substring("413 Payload Too Large"));
    let state = task::block_on(ticket::load(&*server.table)).expect("the table is up");
    expect_that!(state.state.number, eq(TicketNumber(0)));
}

#[googletest::test]
fn health_and_metrics_require_no_token() {
    let server = TestServer::start("health");
    let get = |path: &str| {
        send_raw(
            server.address,
            &format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"),
        )
    };
    expect_that!(get("/healthz"), contains_substring("alive"));
    expect_that!(get("/readyz"), contains_substring("ready"));
    gooseberryloft::metrics::instruments().in_force(TicketNumber(12));
    expect_that!(
        get("/metrics"),
        contains_substring("gooseberryloft_ticket_in_force 12")
    );
    expect_that!(
        get("/operator/status"),
        contains_substring("401 Unauthorized")
    );
}

#[googletest::test]
fn a_lost_answer_is_resolved_before_the_operator_hears_of_it() {
    let server = TestServer::start("lost");
    server.write("1.ini", TICKET);
    server.table.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let filed = server.ctl(&["file", "1.ini", "--settings", "vm.ini"]);
    expect_that!(
        filed.out,
        contains_substring("ticket 1 is accepted"),
        "{}",
        filed.err
    );
}

proptest! {
    #[test]
    fn a_formatted_ticket_parses_to_the_same_ticket(
        slots in 1..50u16, spread in 0..=100u8, leaving in any::<bool>(), keyed in any::<bool>(),
    ) {
        let mut text = TICKET.replace("slots = 6", &format!("slots = {slots}"))
            .replace("idempotent = GET", &format!("idempotent = none\nspread = {spread} %"));
        if leaving {
            text += "[target jobs js-2]\naddress = [::1]:9\ndata_centre = b\nslots = 1\n\
                     connections = 1\nchecks_term = no\nstate = leaving\n[remove old]\n";
        }
        if !keyed {
            text = text.replace("key = header x-shop\nshards = 64\n", "");
        }
        let parsed = ticket::parse(&text).expect("the ticket is valid");
        prop_assert_eq!(ticket::parse(&ticket::to_ini(&parsed)), Ok(parsed));
    }
}
