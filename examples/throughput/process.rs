//! The entry program as a process of its own.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use crate::traffic_support::controller;
use crate::traffic_support::get;
use crate::traffic_support::settings;
use gooseberryloft::view::View;

const TICKS_PER_SECOND: f64 = 100.0;
const POLL: Duration = Duration::from_millis(10);

/// A running entry; dropping it ends the process.
pub struct Process {
    child: Child,
    /// Where callers connect.
    pub callers: SocketAddr,
}

impl Process {
    /// Starts an entry that routes by this view, and waits until it is ready.
    pub fn start(view: View, threads: usize) -> Self {
        let name = format!("throughput-{}.ini", std::process::id());
        let file = std::env::temp_dir().join(name);
        let text = settings(&[controller(view)], threads, "");
        fs::write(&file, text).expect("the temporary folder takes a file");
        let mut child = Command::new(program())
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("build the program first: cargo build --release --bins");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("the output is piped");
        let read = BufReader::new(stdout).read_line(&mut line);
        read.expect("the entry prints its addresses");
        let mut words = line.split([' ', ',', '\n']);
        let mut addresses = words.by_ref().filter_map(|word| word.parse().ok());
        let callers = addresses.next().expect("the callers' address");
        let admin: SocketAddr = addresses.next().expect("the admin address");
        while !get(admin, "/readyz").starts_with("HTTP/1.1 200 ") {
            thread::sleep(POLL);
        }
        fs::remove_file(&file).expect("the settings were read");
        Self { child, callers }
    }

    /// Returns the processor time used so far.
    pub fn cpu(&self) -> Duration {
        let stat = self.read("stat");
        let after_name = stat.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |at: usize| fields[at].parse::<f64>().unwrap_or_default();
        Duration::from_secs_f64((ticks(11) + ticks(12)) / TICKS_PER_SECOND)
    }

    /// Returns the resident memory, in KB.
    pub fn resident_kb(&self) -> u64 {
        let status = self.read("status");
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value
            .and_then(|value| value.parse().ok())
            .unwrap_or_default()
    }

    fn read(&self, file: &str) -> String {
        let path = format!("/proc/{}/{file}", self.child.id());
        fs::read_to_string(path).expect("the process runs")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the program's path, beside the folder of the examples.
fn program() -> PathBuf {
    let own = std::env::current_exe().expect("the example has a path");
    let folder = own.parent().and_then(|examples| examples.parent());
    folder
        .expect("the example runs from its folder")
        .join("gooseberryloft-entry")
}
