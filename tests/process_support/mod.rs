//! Starts the real programs as processes on loopback; the platform and targets run inside the test.

#![allow(dead_code)]

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpListener;
use async_std::task;

use gooseberryloft::ids::BootId;
use gooseberryloft::platform::VmEntry;
use gooseberryloft::platform::VmState;
use gooseberryloft::standin::FakeTable;
use gooseberryloft::standin::platform;
use gooseberryloft::standin::target;
use gooseberryloft::standin::target::Conf;
use gooseberryloft::standin::target::Target;

/// Limit for each request and each wait of a test.
pub const TIMEOUT: Duration = Duration::from_secs(30);

const TOKEN: &str = "0123456789abcdef";
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A running program; the process is killed on drop.
pub struct Program {
    child: Child,
    /// The listen addresses from its first line of output.
    pub addresses: Vec<SocketAddr>,
}

/// A fake platform and VMs that each run one controller.
pub struct TestCluster {
    pub table: FakeTable,
    platform: SocketAddr,
    centres: Vec<String>,
    pub controllers: Vec<Option<Program>>,
}

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
}

impl Program {
    /// Starts a program with settings and waits until it has printed its addresses.
    pub fn start(path: &str, name: &str, settings: &str) -> Self {
        let file = std::env::temp_dir().join(format!("{name}-{}.ini", std::process::id()));
        std::fs::write(&file, settings).unwrap();
        let mut child = Command::new(path)
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        std::fs::remove_file(&file).unwrap();
        let words = line.split([' ', ',', '\n']);
        let addresses = words.filter_map(|word| word.parse().ok()).collect();
        Self { child, addresses }
    }

    /// Sends SIGTERM and waits for the exit; returns `None` after [`TIMEOUT`].
    pub fn stop(&mut self) -> Option<ExitStatus> {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.unwrap().success());
        let start = Instant::now();
        while start.elapsed() < TIMEOUT {
            if let Some(status) = self.child.try_wait().unwrap() {
                return Some(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl TestCluster {
    /// Starts the platform and one controller in each data centre.
    pub fn start(name: &str, data_centres: &[&str]) -> Self {
        let table = FakeTable::default();
        let mut cluster = Self {
            platform: serve_platform(table.clone()),
            table,
            centres: data_centres.iter().map(|centre| (*centre).into()).collect(),
            controllers: Vec::new(),
        };
        for centre in data_centres {
            let settings = cluster.settings(centre, &["127.0.0.1:1".parse().unwrap()]);
            let path = env!("CARGO_BIN_EXE_gooseberryloft-controller");
            let program = Program::start(path, &format!("{name}-{centre}"), &settings);
            cluster.controllers.push(Some(program));
        }
        let running = cluster.controllers.iter().zip(data_centres);
        let entries = running.map(|(program, centre)| VmEntry {
            vm: format!("vm-{centre}").into(),
            data_centre: (*centre).into(),
            address: program.as_ref().unwrap().addresses[0],
            state: VmState::Live,
        });
        cluster.table.set_vms(entries.collect());
        cluster
    }

    /// Kills a controller and starts another process in its place, with the others as seeds.
    pub fn restart(&mut self, name: &str, index: usize) {
        self.controllers[index] = None;
        let others: Vec<_> = self.controllers.iter().flatten().collect();
        let seeds: Vec<_> = others.iter().map(|program| program.addresses[0]).collect();
        let settings = self.settings(&self.centres[index], &seeds);
        let path = env!("CARGO_BIN_EXE_gooseberryloft-controller");
        let program = Program::start(path, &format!("{name}-again"), &settings);
        self.controllers[index] = Some(program);
    }

    /// Starts an entry that is configured with the addresses of all running controllers.
    pub fn entry(&self, name: &str) -> Program {
        let running = self.controllers.iter().flatten();
        let controllers: Vec<_> = running.map(|program| program.addresses[0]).collect();
        let path = env!("CARGO_BIN_EXE_gooseberryloft-entry");
        let settings = self.settings("entry", &controllers);
        Program::start(path, &format!("{name}-entry"), &settings)
    }

    /// Returns the admin address of a controller.
    pub fn admin(&self, index: usize) -> SocketAddr {
        self.controllers[index].as_ref().unwrap().addresses[1]
    }

    /// Files a ticket at a controller and returns the response.
    pub fn file_ticket(&self, index: usize, ticket: &str) -> Response {
        send_request(self.admin(index), "POST", "/operator/tickets", ticket)
    }

    /// Reads a controller's status; null if it does not respond.
    pub fn status(&self, index: usize) -> serde_json::Value {
        let response = send_request(self.admin(index), "GET", "/operator/status", "");
        serde_json::from_str(&response.body).unwrap_or_default()
    }

    /// Returns the index of the controller that reports itself as holder of the first group.
    pub fn holder(&self) -> Option<usize> {
        let running = self.controllers.iter().enumerate();
        let mut running = running.filter(|(_, program)| program.is_some());
        running.find_map(|(index, _)| {
            let status = self.status(index);
            let me = status["vm"].as_str()?;
            let holder = status["groups"][0]["holder"].as_str()?;
            (me == holder).then_some(index)
        })
    }

    fn settings(&self, centre: &str, controllers: &[SocketAddr]) -> String {
        let platform = self.platform;
        let controllers: Vec<_> = controllers.iter().map(SocketAddr::to_string).collect();
        let controllers = controllers.join(" ");
        format!(
            "[vm]\nname = vm-{centre}\ndata_centre = {centre}\n\
             [entry]\nlisten = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             controllers = {controllers}\nthreads = 1\n\
             [controller]\npeer = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [platform]\ntable = {platform}\nobjects = {platform}\nvms = {platform}\n\
             [security]\ntoken = {TOKEN}\n"
        )
    }
}

/// Starts a target inside the test and returns it with its address.
pub fn serve_target(name: &str) -> (Arc<Target>, SocketAddr) {
    let conf = Conf {
        name: name.into(),
        slots: 6,
        checks_term: true,
        work: Duration::from_millis(2),
        warm_up: Duration::ZERO,
    };
    let boot = BootId(rand::random());
    let target = Arc::new(Target::new(conf, boot, Instant::now()));
    let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(target::serve(listener, target.clone()));
    (target, address)
}

fn serve_platform(table: FakeTable) -> SocketAddr {
    let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(platform::serve(listener, table));
    address
}

/// Sends one request; the status is 0 if no response is received.
pub fn send_request(address: SocketAddr, method: &str, path: &str, body: &str) -> Response {
    let text = exchange(address, method, path, body).unwrap_or_default();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let body = text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
    Response {
        status: status.unwrap_or_default(),
        body: body.unwrap_or_default(),
    }
}

fn exchange(address: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let length = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         x-gooseberryloft-token: {TOKEN}\r\nauthorization: Bearer {TOKEN}\r\n\
         content-length: {length}\r\n\r\n{body}"
    )?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// Waits until the condition is true; fails the test after [`TIMEOUT`].
pub fn wait_until(what: &str, condition: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "not within {TIMEOUT:?}: {what}");
        thread::sleep(POLL_INTERVAL);
    }
    println!("{what}: after {:?}", start.elapsed());
    start.elapsed()
}
