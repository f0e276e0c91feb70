//! Asking the entries.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use http_types::Method;

use crate::burn::EntryBurn;
use crate::platform::client::HttpClient;
use crate::report::Missing;
use crate::report::Report;
use crate::settings::ReportSettings;

/// Where an entry's admin address serves its [`EntryBurn`].
const BURN_PATH: &str = "/burn";
const CALL_LIMIT: Duration = Duration::from_secs(3);
const CALLS_AT_ONCE: usize = 64;

/// Asks every entry and joins what they tell.
pub async fn gather(conf: &ReportSettings, entries: &[SocketAddr]) -> Report {
    let mut answers = Vec::new();
    let mut missing = Vec::new();
    for some in entries.chunks(CALLS_AT_ONCE) {
        let asked = some.iter().map(|&entry| ask(entry));
        for answer in join_all(asked).await {
            match answer {
                Ok(burn) => answers.push(burn),
                Err(lost) => missing.push(lost),
            }
        }
    }
    Report::new(conf, &answers, missing)
}

async fn ask(entry: SocketAddr) -> Result<EntryBurn, Missing> {
    let missing = |reason: String| Missing { entry, reason };
    let client = HttpClient::new(entry, CALL_LIMIT);
    let reply = client.call(Method::Get, BURN_PATH, &[]).await;
    let reply = reply.map_err(|error| missing(error.to_string()))?;
    if !reply.is_success() {
        let reason = "give the [entry] admin address of an entry";
        return Err(missing(format!("status {}; {reason}", reply.status)));
    }
    serde_json::from_slice(&reply.body).map_err(|error| {
        let remedy = "check that report and entry run the same release";
        missing(format!("{error}; {remedy}"))
    })
}
