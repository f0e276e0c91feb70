//! Stand-in for the platform: transactional table, object store and list of VMs on one address.

use std::net::SocketAddr;

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
        .get_matches();
    let listen = args
        .get_one::<SocketAddr>("listen")
        .context("pass --listen ADDRESS")?;
    async_std::task::block_on(run(*listen))
}

async fn run(listen: SocketAddr) -> anyhow::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    println!("{}", listener.local_addr()?);
    platform::serve(listener, FakeTable::default()).await;
    Ok(())
}
