//! The format and level filter of the log file.

use googletest::prelude::*;
use log::LevelFilter;

use gooseberryloft::events;
use gooseberryloft::events::Event;
use gooseberryloft::settings::LogSettings;

#[googletest::test]
fn log_file_has_event_number_and_name() {
    let name = format!("gooseberryloft-log-{}.log", std::process::id());
    let path = std::env::temp_dir().join(name);
    let conf = LogSettings {
        level: LevelFilter::Info,
        file: Some(path.clone()),
    };
    events::init("entry", &conf).expect("the file is created");
    events::record(Event::Started, format_args!("vm=vm-1"));
    events::record(Event::RequestRefused, format_args!("below the level"));
    let text = std::fs::read_to_string(&path).expect("the file was written");
    let _ = std::fs::remove_file(&path);
    expect_that!(
        text,
        contains_substring(" entry INFO 100 started vm=vm-1\n")
    );
    expect_that!(text.lines().count(), eq(1));
    expect_that!(events::init("entry", &conf), err(anything()));
    let _ = std::fs::remove_file(&path);
}
