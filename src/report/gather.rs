//! Fetches the request counts of all entries over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use http_types::Method;

use crate::burn::EntryBurn;
use crate::platform::client::HttpClient;
use crate::report::Missing;
use crate::report::Report;
use crate::settings::ReportSettings;

/// The path on an entry's admin address that serves its [`EntryBurn`].
const BURN_PATH: &str = "/burn";
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_PARALLEL_CALLS: usize = 64;

/// Queries every entry by its admin address and merges the responses into a report.
///
/// Entries that fail are listed in [`Report::missing`].
pub async fn gather(conf: &ReportSettings, entries: &[SocketAddr]) -> Report {
    let mut responses = Vec::new();
    let mut missing = Vec::new();
    for chunk in entries.chunks(MAX_PARALLEL_CALLS) {
        let calls = chunk.iter().map(|&entry| fetch_burn(entry));
        for result in join_all(calls).await {
            match result {
                Ok(burn) => responses.push(burn),
                Err(failure) => missing.push(failure),
            }
        }
    }
    Report::new(conf, &responses, missing)
}

async fn fetch_burn(entry: SocketAddr) -> Result<EntryBurn, Missing> {
    let missing = |reason: String| Missing { entry, reason };
    let client = HttpClient::new(entry, CALL_TIMEOUT);
    let response = client.call(Method::Get, BURN_PATH, &[]).await;
    let response = response.map_err(|error| missing(error.to_string()))?;
    if !response.is_success() {
        let reason = "give the [entry] admin address of an entry";
        return Err(missing(format!("status {}; {reason}", response.status)));
    }
    serde_json::from_slice(&response.body).map_err(|error| {
        let remedy = "check that report and entry run the same release";
        missing(format!("{error}; {remedy}"))
    })
}
