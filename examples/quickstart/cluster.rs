//! The processes of the run: the platform's stand-in, targets, and three VMs.

use std::fmt::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::ensure;
use async_std::task;
use http_types::Method;

use crate::http;
use crate::http::Ask;
use crate::process::Process;
use crate::process::Programs;

const DATA_CENTRES: [&str; 3] = ["east", "north", "west"];
const KEYED_TARGETS: usize = 6;
const DESK_TARGETS: usize = 3;
const PLATFORM_LIMIT: Duration = Duration::from_secs(2);
const READY_LIMIT: Duration = Duration::from_secs(20);
const READY_PAUSE: Duration = Duration::from_millis(50);
const TOKEN: &str = "quickstart-token";

/// One VM: an entry and a controller.
pub struct Vm {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the platform's balancer asks whether the entry is ready.
    pub admin: SocketAddr,
    /// Where operators reach the controller.
    pub operators: SocketAddr,
    /// The settings file.
    pub settings: PathBuf,
    _entry: Process,
    /// The controller.
    pub controller: Process,
}

/// One target.
pub struct Target {
    /// The name in the ticket.
    pub name: String,
    /// The service in the ticket.
    pub service: &'static str,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: &'static str,
    /// Its process.
    pub process: Process,
}

/// Everything that runs.
pub struct Cluster {
    /// The programs' paths.
    pub programs: Programs,
    /// The run's folder.
    pub dir: PathBuf,
    /// The table's address; the stand-in serves the object store and the list there, too.
    pub platform: SocketAddr,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// The targets, keyed ones first.
    pub targets: Vec<Target>,
    _platform: Process,
}

struct PlatformStandin {
    address: SocketAddr,
    process: Process,
}

struct VmPlan {
    name: String,
    data_centre: &'static str,
    listen: SocketAddr,
    entry_admin: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
}

impl Cluster {
    /// Starts all processes but files no ticket.
    pub async fn start(programs: Programs, dir: &Path) -> Result<Self> {
        std::fs::create_dir_all(dir)?;
        let plans = plan_vms()?;
        let platform = start_platform(&programs, dir)?;
        let address = platform.address;
        list_vms(address, &plans).await?;
        let mut targets = Vec::new();
        for i in 0..KEYED_TARGETS {
            targets.push(start_target(&programs, dir, "status", i)?);
        }
        for i in 0..DESK_TARGETS {
            targets.push(start_target(&programs, dir, "desk", i)?);
        }
        let mut vms = Vec::new();
        for (i, plan) in plans.iter().enumerate() {
            vms.push(start_vm(&programs, dir, &plans, plan, i, address)?);
        }
        let dir = dir.to_path_buf();
        Ok(Self {
            programs,
            dir,
            platform: address,
            vms,
            targets,
            _platform: platform.process,
        })
    }

    /// Waits until every controller takes tickets.
    pub async fn wait_controllers(&self) -> Result<()> {
        wait_ready(self.vms.iter().map(|vm| vm.operators)).await
    }

    /// Waits until every entry is ready, as a balancer does before it sends callers.
    pub async fn wait_entries(&self) -> Result<()> {
        wait_ready(self.vms.iter().map(|vm| vm.admin)).await
    }

    /// Writes a ticket; targets named in `left_out` are not in it, those in `leaving` are leaving.
    pub fn write_ticket(&self, ticket: &TicketPlan<'_>) -> Result<PathBuf> {
        let path = self.dir.join(format!("{}.ini", ticket.file));
        std::fs::write(&path, self.ticket_text(ticket)?)?;
        Ok(path)
    }

    /// Runs the operator command against one VM; returns its exit code and what it printed.
    pub fn ctl(&self, vm: usize, args: &[&str]) -> Result<CtlOutput> {
        let output = Command::new(self.programs.bin("gooseberryloft-ctl"))
            .args(args)
            .arg("--settings")
            .arg(&self.vms[vm].settings)
            .output()
            .context("cannot run the operator command")?;
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        Ok(CtlOutput {
            code: output.status.code().unwrap_or(-1),
            stdout,
            stderr,
        })
    }

    /// Returns the index of a target by name.
    pub fn target(&self, name: &str) -> Result<usize> {
        self.targets
            .iter()
            .position(|t| t.name == name)
            .context("no such target")
    }

    fn ticket_text(&self, ticket: &TicketPlan<'_>) -> Result<String> {
        let mut text = String::new();
        writeln!(
            text,
            "[ticket]\nnumber = {}\nbase = {}\n",
            ticket.number, ticket.base
        )?;
        writeln!(
            text,
            "[service status]\npath = /status\nkey = path\nshards = 256"
        )?;
        writeln!(
            text,
            "idempotent = GET HEAD\npriority = 5\nspread = 0 %\ndeadline = 2 s\n"
        )?;
        writeln!(text, "[service desk]\npath = /desk\nidempotent = GET HEAD")?;
        writeln!(text, "priority = 7\nspread = 30 %\ndeadline = 60 s\n")?;
        for target in &self.targets {
            if ticket.left_out.contains(&target.name.as_str()) {
                continue;
            }
            let leaving = ticket.leaving.contains(&target.name.as_str());
            writeln!(text, "[target {} {}]", target.service, target.name)?;
            writeln!(text, "address = {}", target.address)?;
            writeln!(text, "data_centre = {}", target.data_centre)?;
            writeln!(text, "slots = 6\nconnections = 130\nchecks_term = yes")?;
            writeln!(
                text,
                "state = {}\n",
                if leaving { "leaving" } else { "serving" }
            )?;
        }
        Ok(text)
    }
}

/// What a ticket of the run says.
#[derive(Default)]
pub struct TicketPlan<'a> {
    /// The file's name without its ending.
    pub file: &'a str,
    /// The ticket's number.
    pub number: u64,
    /// The number that it builds on.
    pub base: u64,
    /// Targets that the ticket does not name.
    pub left_out: &'a [&'a str],
    /// Targets that are to take no new work.
    pub leaving: &'a [&'a str],
}

/// What the operator command returned.
pub struct CtlOutput {
    /// The exit code.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

fn plan_vms() -> Result<Vec<VmPlan>> {
    let plan = |(i, data_centre): (usize, &&'static str)| {
        Ok(VmPlan {
            name: format!("vm-{}", i + 1),
            data_centre,
            listen: free_address()?,
            entry_admin: free_address()?,
            peer: free_address()?,
            admin: free_address()?,
        })
    };
    DATA_CENTRES.iter().enumerate().map(plan).collect()
}

fn free_address() -> Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

fn start_platform(programs: &Programs, dir: &Path) -> Result<PlatformStandin> {
    let program = programs.example("standin_platform");
    let mut process = Process::start("platform", &program, &[], dir)?;
    let address = process
        .first_line()?
        .parse()
        .context("the platform printed no address")?;
    Ok(PlatformStandin { address, process })
}

async fn wait_ready(addresses: impl Iterator<Item = SocketAddr>) -> Result<()> {
    let limit = Instant::now() + READY_LIMIT;
    for address in addresses {
        while !is_ready(address).await {
            ensure!(
                Instant::now() < limit,
                "the program with its admin address on {address} is not ready; see its log"
            );
            task::sleep(READY_PAUSE).await;
        }
    }
    Ok(())
}

async fn is_ready(admin: SocketAddr) -> bool {
    let answer = http::send(admin, Ask::get("/readyz", &[]), PLATFORM_LIMIT).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

async fn list_vms(platform: SocketAddr, plans: &[VmPlan]) -> Result<()> {
    let body = vm_list(plans).into_bytes();
    let ask = Ask {
        method: Method::Put,
        path: "/vms",
        headers: &[],
        body,
    };
    let answer = http::send(platform, ask, PLATFORM_LIMIT).await?;
    ensure!(
        answer.status == 200,
        "the platform's stand-in refused the list of VMs"
    );
    Ok(())
}

fn vm_list(plans: &[VmPlan]) -> String {
    let entry = |plan: &VmPlan| {
        format!(
            r#"{{"vm":"{}","data_centre":"{}","address":"{}","state":"live"}}"#,
            plan.name, plan.data_centre, plan.peer
        )
    };
    let entries: Vec<_> = plans.iter().map(entry).collect();
    format!("[{}]", entries.join(","))
}

fn start_target(
    programs: &Programs,
    dir: &Path,
    service: &'static str,
    index: usize,
) -> Result<Target> {
    let name = format!("{service}-{}", index + 1);
    let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
    let args = ["--name", &name, "--work-ms", "2", "--slots", "6"].map(String::from);
    let program = programs.example("standin_target");
    let mut process = Process::start(&name, &program, &args, dir)?;
    let address = process
        .first_line()?
        .parse()
        .context("target printed no address")?;
    Ok(Target {
        name,
        service,
        address,
        data_centre,
        process,
    })
}

fn start_vm(
    programs: &Programs,
    dir: &Path,
    plans: &[VmPlan],
    plan: &VmPlan,
    index: usize,
    platform: SocketAddr,
) -> Result<Vm> {
    let settings = dir.join(format!("{}.ini", plan.name));
    std::fs::write(&settings, settings_text(plans, plan, index, platform)?)?;
    let args = [
        "--settings".to_owned(),
        settings.to_string_lossy().into_owned(),
    ];
    let start = |kind: &str| -> Result<Process> {
        let name = format!("{}-{kind}", plan.name);
        let program = programs.bin(&format!("gooseberryloft-{kind}"));
        let mut process = Process::start(&name, &program, &args, dir)?;
        process.ignore_output();
        Ok(process)
    };
    let controller = start("controller")?;
    let entry = start("entry")?;
    Ok(Vm {
        listen: plan.listen,
        admin: plan.entry_admin,
        operators: plan.admin,
        settings,
        _entry: entry,
        controller,
    })
}

fn settings_text(
    plans: &[VmPlan],
    plan: &VmPlan,
    index: usize,
    platform: SocketAddr,
) -> Result<String> {
    let others = (0..plans.len()).map(|i| plans[(index + i) % plans.len()].peer.to_string());
    let controllers: Vec<_> = others.collect();
    let mut text = String::new();
    writeln!(
        text,
        "[vm]\nname = {}\ndata_centre = {}\n",
        plan.name, plan.data_centre
    )?;
    writeln!(
        text,
        "[entry]\nlisten = {}\nadmin = {}",
        plan.listen, plan.entry_admin
    )?;
    writeln!(
        text,
        "controllers = {}\nthreads = 2\n",
        controllers.join(" ")
    )?;
    writeln!(
        text,
        "[controller]\npeer = {}\nadmin = {}\n",
        plan.peer, plan.admin
    )?;
    writeln!(
        text,
        "[platform]\ntable = {platform}\nobjects = {platform}\nvms = {platform}\n"
    )?;
    writeln!(text, "[security]\ntoken = {TOKEN}")?;
    Ok(text)
}
