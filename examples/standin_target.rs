//! Stand-in for a target: takes grants, runs requests in slots, keeps a ledger of what it ran.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use async_std::net::TcpListener;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use gooseberryloft::ids::BootId;
use gooseberryloft::standin::target;
use gooseberryloft::standin::target::Conf;
use gooseberryloft::standin::target::Target;

fn main() -> anyhow::Result<()> {
    let args = command().get_matches();
    let listen = value::<SocketAddr>(&args, "listen")?;
    let conf = Conf {
        name: value::<String>(&args, "name")?,
        slots: value(&args, "slots")?,
        checks_term: !args.get_flag("unchecked"),
        work: Duration::from_millis(value(&args, "work-ms")?),
        warm_up: Duration::from_millis(value(&args, "cold-ms")?),
    };
    async_std::task::block_on(run(listen, conf))
}

fn command() -> Command {
    Command::new("standin_target")
        .about("Serves requests as a target would")
        .arg(
            Arg::new("listen")
                .long("listen")
                .help("Address to serve on; the address bound is the first line printed")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:0"),
        )
        .arg(
            Arg::new("name")
                .long("name")
                .help("Name that answers carry")
                .default_value("target"),
        )
        .arg(number("slots", "Requests that run at a time", "6").value_parser(value_parser!(usize)))
        .arg(number(
            "work-ms",
            "Working time of a request, in milliseconds",
            "5",
        ))
        .arg(number(
            "cold-ms",
            "How long the start is slow, in milliseconds",
            "0",
        ))
        .arg(
            Arg::new("unchecked")
                .long("unchecked")
                .help("Take orders of any term")
                .action(ArgAction::SetTrue),
        )
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .value_parser(value_parser!(u64))
        .default_value(default)
}

fn value<T: Clone + Send + Sync + 'static>(args: &ArgMatches, name: &str) -> anyhow::Result<T> {
    let value = args.get_one::<T>(name);
    value
        .cloned()
        .with_context(|| format!("pass --{name} VALUE"))
}

async fn run(listen: SocketAddr, conf: Conf) -> anyhow::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    println!("{}", listener.local_addr()?);
    let target = Target::new(conf, BootId(rand::random()), Instant::now());
    target::serve(listener, Arc::new(target)).await;
    Ok(())
}
