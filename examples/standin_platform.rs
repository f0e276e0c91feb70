//! Stand-in for the platform: transactional table, object store and list of VMs on one address.

use std::net::SocketAddr;
use std::path::PathBuf;

use anyhow::Context;
use async_std::net::TcpListener;
use clap::Arg;
use clap::Command;
use clap::value_parser;

use gooseberryloft::standin::FakeTable;
use gooseberryloft::standin::platform;

fn main() -> anyhow::Result<()> {
    let args = Command::new("standin_platform")
        .about("Serves a table, an object store and a list of VMs from memory")
        .arg(
            Arg::new("listen")
                .long("listen")
                .help("Address to serve on; the address bound is the first line printed")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:0"),
        )
        .arg(
            Arg::new("vms")
                .long("vms")
                .value_name("FILE")
                .help("JSON list of VMs to serve; PUT /vms replaces it")
                .value_parser(value_parser!(PathBuf)),
        )
        .get_matches();
    let listen = args
        .get_one::<SocketAddr>("listen")
        .context("pass --listen ADDRESS")?;
    let table = FakeTable::default();
    if let Some(path) = args.get_one::<PathBuf>("vms") {
        table.set_vms(serde_json::from_slice(&std::fs::read(path)?)?);
    }
    async_std::task::block_on(run(*listen, table))
}

async fn run(listen: SocketAddr, table: FakeTable) -> anyhow::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    println!("{}", listener.local_addr()?);
    platform::serve(listener, table).await;
    Ok(())
}
