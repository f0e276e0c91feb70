//! What the system costs: slopes measured on one machine, and the figures at the size to build
//! towards that follow from them.
//!
//! `cargo run --release --example capacity` takes under a minute. `docs/CAPACITY.md` explains it.

#[path = "../../tests/state_sync_support/mod.rs"]
mod net;
#[path = "../../tests/support/owner_simulation.rs"]
mod simulation;
#[path = "../../tests/support/owner_table.rs"]
mod table;

mod control;
mod full;
mod memory;
mod report;
mod spreading;
mod view;
mod wire;

use peak_alloc::PeakAlloc;

use crate::report::section;

#[global_allocator]
static HEAP: PeakAlloc = PeakAlloc;

fn main() -> anyhow::Result<()> {
    let memory = memory::measure();
    section("memory", &memory::rows(&memory));
    let wire = wire::measure()?;
    section("messages", &wire::rows(&wire));
    let control = control::measure();
    section("control of a group", &control::rows(&control));
    let today = spreading::measure(12, 4);
    section("spreading, today", &spreading::rows(&today));
    let centre = spreading::measure(174, 1);
    section(
        "spreading, one data centre at full size",
        &spreading::rows(&centre),
    );
    let all = spreading::measure(4_000, 23);
    section("spreading, full size", &spreading::rows(&all));
    let storms = spreading::storms();
    section("storms at full size", &spreading::storm_rows(&storms));
    let measured = full::Measured {
        memory,
        wire,
        control,
        spreading: all,
        storms,
    };
    println!("\nworked out for 4,000 nodes, 4,000 targets, 65,536 shards, 250 groups");
    for verdict in full::verdicts(&measured) {
        println!("  {verdict}");
    }
    Ok(())
}
