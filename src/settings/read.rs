//! Parsing and validation of the settings file.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use log::LevelFilter;

use crate::ids::DataCentre;
use crate::ids::VmId;
use crate::inifile::Diagnostics;
use crate::inifile::Document;
use crate::inifile::ValueFormat;
use crate::inifile::formats;
use crate::settings::BurnWindow;
use crate::settings::ControllerSettings;
use crate::settings::EntrySettings;
use crate::settings::LogSettings;
use crate::settings::PlatformSettings;
use crate::settings::ReportSettings;
use crate::settings::Settings;
use crate::settings::SettingsError;
use crate::settings::VmSettings;

const MAX_FILE_BYTES: usize = 64 << 10;
const MAX_WINDOW_PAIRS: usize = 8;
const MAX_WINDOW: Duration = Duration::from_secs(30 * 24 * 60 * 60);
const MIN_TOKEN_BYTES: usize = 16;
const MAX_TOKEN_BYTES: usize = 256;
const DEFAULT_THREADS: usize = 2;
const DEFAULT_STALE_LIMIT: Duration = Duration::from_secs(30);
const DEFAULT_OBJECTIVE_PERCENT: f64 = 99.9;
const DEFAULT_LATENCY: Duration = Duration::from_millis(500);
const DEFAULT_WINDOWS: [BurnWindow; 2] = [
    BurnWindow {
        short: Duration::from_secs(5 * 60),
        long: Duration::from_secs(60 * 60),
        threshold: 14.4,
    },
    BurnWindow {
        short: Duration::from_secs(30 * 60),
        long: Duration::from_secs(6 * 60 * 60),
        threshold: 6.0,
    },
];
const SECTIONS: [&str; 7] = [
    "vm",
    "entry",
    "controller",
    "platform",
    "security",
    "report",
    "log",
];

const THREADS: ValueFormat<usize> = ValueFormat {
    expected: "a whole number from 1 to 64",
    parse: |text| formats::parse_in_range(text, 1, 64),
};

const TOKEN: ValueFormat<String> = ValueFormat {
    expected: "16 to 256 visible ASCII characters, the same on every VM",
    parse: |text| {
        let length_valid = (MIN_TOKEN_BYTES..=MAX_TOKEN_BYTES).contains(&text.len());
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        (length_valid && visible).then(|| text.to_owned())
    },
};

const OBJECTIVE: ValueFormat<f64> = ValueFormat {
    expected: "a percentage of at least 50 % and below 100 %, such as `99.9 %`",
    parse: |text| {
        let percent = formats::strip_unit(text, "%")?.parse().ok()?;
        (50.0..100.0).contains(&percent).then_some(percent)
    },
};

const WINDOWS: ValueFormat<Vec<BurnWindow>> = ValueFormat {
    expected: "1 to 8 pairs of a shorter and a longer window of at most 30 days, each with the burn \
               rate of an alert, such as `5 min/1 h at 14.4, 30 min/6 h at 6`",
    parse: |text| {
        let windows: Vec<BurnWindow> = text.split(',').map(parse_window).collect::<Option<_>>()?;
        (windows.len() <= MAX_WINDOW_PAIRS).then_some(windows)
    },
};

const LEVEL: ValueFormat<LevelFilter> = ValueFormat {
    expected: "one of off, error, warn, info, debug, trace",
    parse: |text| text.parse().ok(),
};

const LOG_FILE: ValueFormat<Option<PathBuf>> = ValueFormat {
    expected: "`none` for standard error, or the path of a file",
    parse: |text| match text {
        "" => None,
        "none" => Some(None),
        _ => Some(Some(text.into())),
    },
};

impl Settings {
    /// Loads and validates a settings file. The error lists everything that is wrong with it.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&name, &text).map_err(SettingsError::Invalid),
            Err(source) => Err(SettingsError::Read { path: name, source }),
        }
    }

    /// Parses and validates the text of a settings file. `file` is its name in the diagnostics.
    pub fn parse(file: &str, text: &str) -> Result<Self, Diagnostics> {
        let mut doc = Document::parse(file, text, MAX_FILE_BYTES);
        reject_unknown_sections(&mut doc);
        let settings = read_settings(&mut doc);
        match settings {
            Some(settings) if doc.diagnostics.is_empty() => Ok(settings),
            _ => Err(doc.diagnostics),
        }
    }
}

// Reads all sections before returning early for a missing value, so that all errors are reported.
fn read_settings(doc: &mut Document) -> Option<Settings> {
    let vm = read_vm(doc);
    let entry = read_entry(doc);
    let controller = read_controller(doc);
    let platform = read_platform(doc);
    let token = read_token(doc);
    let report = read_report(doc);
    let log = read_log(doc);
    let entry = entry?;
    let controller = controller?;
    reject_shared_addresses(doc, &entry, &controller);
    Some(Settings {
        vm: vm?,
        entry,
        controller,
        platform: platform?,
        token: token?,
        report,
        log,
    })
}

fn reject_unknown_sections(doc: &mut Document) {
    let remedy = format!("remove it or use one of: {}", SECTIONS.join(", "));
    for name in doc.section_names() {
        if !SECTIONS.contains(&name.as_str()) {
            doc.add_diagnostic(&name, "", "unknown section", &remedy);
        }
    }
}

fn reject_shared_addresses(
    doc: &mut Document,
    entry: &EntrySettings,
    controller: &ControllerSettings,
) {
    let listeners = [
        ("entry", "listen", entry.listen),
        ("entry", "admin", entry.admin),
        ("controller", "peer", controller.peer),
        ("controller", "admin", controller.admin),
    ];
    for (i, (section, key, address)) in listeners.iter().enumerate() {
        let in_use = listeners[..i].iter().any(|(_, _, other)| other == address);
        if in_use && address.port() != 0 {
            let problem = format!("{address} is given to another listener too");
            doc.add_diagnostic(section, key, &problem, "give each listener its own port");
        }
    }
}

fn read_vm(doc: &mut Document) -> Option<VmSettings> {
    let mut section = doc.section("vm");
    let name = section.required("name", &formats::NAME);
    let data_centre = section.required("data_centre", &formats::NAME);
    section.finish();
    Some(VmSettings {
        name: VmId::from(name?),
        data_centre: DataCentre::from(data_centre?),
    })
}

fn read_entry(doc: &mut Document) -> Option<EntrySettings> {
    let mut section = doc.section("entry");
    let listen = section.required("listen", &formats::ADDRESS);
    let admin = section.required("admin", &formats::ADDRESS);
    let controllers = section.required("controllers", &formats::ADDRESSES);
    let threads = section.optional("threads", &THREADS, DEFAULT_THREADS);
    let drain_limit = section.optional("drain_limit", &formats::OPTIONAL_DURATION, None);
    let stale_limit = section.optional("stale_limit", &formats::DURATION, DEFAULT_STALE_LIMIT);
    section.finish();
    Some(EntrySettings {
        listen: listen?,
        admin: admin?,
        controllers: controllers?,
        threads,
        drain_limit,
        stale_limit,
    })
}

fn read_controller(doc: &mut Document) -> Option<ControllerSettings> {
    let mut section = doc.section("controller");
    let peer = section.required("peer", &formats::ADDRESS);
    let admin = section.required("admin", &formats::ADDRESS);
    section.finish();
    Some(ControllerSettings {
        peer: peer?,
        admin: admin?,
    })
}

fn read_platform(doc: &mut Document) -> Option<PlatformSettings> {
    let mut section = doc.section("platform");
    let table = section.required("table", &formats::ADDRESS);
    let objects = section.required("objects", &formats::ADDRESS);
    let vms = section.required("vms", &formats::ADDRESS);
    section.finish();
    Some(PlatformSettings {
        table: table?,
        objects: objects?,
        vms: vms?,
    })
}

fn read_token(doc: &mut Document) -> Option<String> {
    let mut section = doc.section("security");
    let token = section.required("token", &TOKEN);
    section.finish();
    token
}

fn read_report(doc: &mut Document) -> ReportSettings {
    let none: Vec<SocketAddr> = Vec::new();
    let mut section = doc.section("report");
    let report = ReportSettings {
        objective: section.optional("objective", &OBJECTIVE, DEFAULT_OBJECTIVE_PERCENT),
        latency: section.optional("latency", &formats::DURATION, DEFAULT_LATENCY),
        windows: section.optional("windows", &WINDOWS, DEFAULT_WINDOWS.to_vec()),
        entries: section.optional("entries", &formats::ADDRESSES, none),
    };
    let max_burn_rate = 100.0 / (100.0 - report.objective);
    if report.windows.iter().any(|w| w.threshold > max_burn_rate) {
        let problem = format!(
            "a threshold is above {max_burn_rate:.1}, the maximum burn rate with this objective"
        );
        let remedy = "lower the threshold or raise `objective`";
        section.add_diagnostic("windows", &problem, remedy);
    }
    section.finish();
    report
}

fn read_log(doc: &mut Document) -> LogSettings {
    let mut section = doc.section("log");
    let log = LogSettings {
        level: section.optional("level", &LEVEL, LevelFilter::Info),
        file: section.optional("file", &LOG_FILE, None),
    };
    section.finish();
    log
}

fn parse_window(text: &str) -> Option<BurnWindow> {
    let (windows, threshold) = text.split_once(" at ")?;
    let (short, long) = windows.split_once('/')?;
    let short = (formats::DURATION.parse)(short.trim())?;
    let long = (formats::DURATION.parse)(long.trim())?;
    let threshold: f64 = threshold.trim().parse().ok()?;
    let valid = short < long && long <= MAX_WINDOW && threshold.is_finite() && threshold > 0.0;
    valid.then_some(BurnWindow {
        short,
        long,
        threshold,
    })
}
