//! Child processes that end with the run.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;

use anyhow::Context;
use anyhow::Result;
use rustix::process::Pid;
use rustix::process::Signal;

static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// One process of the run; killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program; its standard error goes to a file in `logs`.
    pub fn start(name: &str, program: &Path, args: &[String], logs: &Path) -> Result<Self> {
        let log = File::create(logs.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))?;
        running().push(child.id());
        Ok(Self { child })
    }

    /// Reads the first line that the program prints, then discards the rest.
    pub fn first_line(&mut self) -> Result<String> {
        let stdout = self.child.stdout.take().context("output already taken")?;
        let mut rdr = BufReader::new(stdout);
        let mut line = String::new();
        rdr.read_line(&mut line)?;
        std::thread::spawn(move || std::io::copy(&mut rdr, &mut std::io::sink()));
        Ok(line.trim().to_owned())
    }

    /// Discards what the program prints.
    pub fn ignore_output(&mut self) {
        if let Some(mut stdout) = self.child.stdout.take() {
            std::thread::spawn(move || std::io::copy(&mut stdout, &mut std::io::sink()));
        }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let pid = Pid::from_raw(self.child.id() as i32).context("no process id")?;
        rustix::process::kill_process(pid, signal)?;
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        running().retain(|id| *id != self.child.id());
    }
}

/// Kills every process of the run.
pub fn kill_all() {
    for id in running().drain(..) {
        if let Some(pid) = Pid::from_raw(id as i32) {
            let _ = rustix::process::kill_process(pid, Signal::KILL);
        }
    }
}

fn running() -> std::sync::MutexGuard<'static, Vec<u32>> {
    RUNNING
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Where the built programs and examples lie.
pub struct Programs {
    dir: PathBuf,
}

impl Programs {
    /// Builds what is missing, beside the running example.
    pub fn build() -> Result<Self> {
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
        let mut build = Command::new(cargo);
        build.args([
            "build",
            "--quiet",
            "--bins",
            "--example",
            "standin_platform",
        ]);
        build.args(["--example", "standin_target"]);
        let this = std::env::current_exe()?;
        let dir = this
            .parent()
            .and_then(Path::parent)
            .context("no build folder")?
            .to_path_buf();
        if dir.ends_with("release") {
            build.arg("--release");
        }
        let status = build.current_dir(env!("CARGO_MANIFEST_DIR")).status()?;
        anyhow::ensure!(
            status.success(),
            "cargo build failed; see its messages above"
        );
        Ok(Self { dir })
    }

    /// Returns the path of one of the four programs.
    pub fn bin(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    /// Returns the path of a stand-in.
    pub fn example(&self, name: &str) -> PathBuf {
        self.dir.join("examples").join(name)
    }
}
