//! An in-memory transactional table, object store and VM list with fault injection.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::platform::Mutation;
use crate::platform::ObjectStore;
use crate::platform::Row;
use crate::platform::Table;
use crate::platform::TableError;
use crate::platform::Transaction;
use crate::platform::VmEntry;
use crate::platform::VmList;

const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The faults to inject; all are off by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails with an unknown outcome.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// The number of next commits that take effect but whose response is lost.
    pub lose_answers: u32,
    /// Maximum number of reads and scans per second; more are throttled. 0 means no limit.
    pub reads_per_second: u32,
    /// Maximum number of commits per second; more are throttled. 0 means no limit.
    pub writes_per_second: u32,
    /// Reads return the rows as they were when this fault was set.
    pub stale: bool,
}

/// The number of table calls since the start, including throttled ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of reads and scans.
    pub reads: u64,
    /// Number of commits.
    pub writes: u64,
}

/// An in-memory table, object store and VM list; clones share the same data.
#[derive(Clone, Debug, Default)]
pub struct FakeTable {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    stale_rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Vec<u8>>,
    vms: Vec<VmEntry>,
    faults: Faults,
    usage: Usage,
    read_rate: RateLimit,
    write_rate: RateLimit,
}

#[derive(Debug, Default)]
struct RateLimit {
    window_start: Option<Instant>,
    count: u32,
}

impl FakeTable {
    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        if faults.stale && !state.faults.stale {
            state.stale_rows = state.rows.clone();
        }
        state.faults = faults;
    }

    /// Returns the injected faults, with the lost responses that are still to come.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.lock().vms = vms;
    }

    /// Returns the number of table calls since the start.
    pub fn usage(&self) -> Usage {
        self.lock().usage
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn inject_call_faults(&self) -> Result<(), TableError> {
        let faults = self.faults();
        if faults.slow_ms > 0 {
            async_std::task::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        match faults.down {
            true => Err(TableError::Unknown("the stand-in is down".into())),
            false => Ok(()),
        }
    }
}

impl Table for FakeTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, TableError> {
        self.inject_call_faults().await?;
        let mut state = self.lock();
        Ok(state.read()?.get(key).cloned())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        self.inject_call_faults().await?;
        let mut state = self.lock();
        let candidates = state.read()?.range(prefix.to_owned()..);
        let rows = candidates.take_while(|(key, _)| key.starts_with(prefix));
        Ok(rows.map(|(_, row)| row.clone()).collect())
    }

    async fn commit(&self, tx: &Transaction) -> Result<(), TableError> {
        self.inject_call_faults().await?;
        self.lock().commit(tx)
    }
}

impl ObjectStore for FakeTable {
    async fn read(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        self.inject_call_faults().await?;
        Ok(self.lock().objects.get(name).cloned())
    }

    async fn write(&self, name: &str, body: &[u8]) -> Result<(), TableError> {
        self.inject_call_faults().await?;
        self.lock().objects.insert(name.to_owned(), body.to_vec());
        Ok(())
    }
}

impl VmList for FakeTable {
    async fn vms(&self) -> Result<Vec<VmEntry>, TableError> {
        self.inject_call_faults().await?;
        Ok(self.lock().vms.clone())
    }
}

impl State {
    fn read(&mut self) -> Result<&BTreeMap<String, Row>, TableError> {
        self.usage.reads += 1;
        self.read_rate.admit(self.faults.reads_per_second)?;
        match self.faults.stale {
            true => Ok(&self.stale_rows),
            false => Ok(&self.rows),
        }
    }

    fn commit(&mut self, tx: &Transaction) -> Result<(), TableError> {
        self.usage.writes += 1;
        self.write_rate.admit(self.faults.writes_per_second)?;
        for condition in &tx.conditions {
            let found = self.rows.get(&condition.key).map_or(0, |row| row.revision);
            if found != condition.revision {
                let key = condition.key.clone();
                return Err(TableError::Conflict { key, found });
            }
        }
        for mutation in &tx.mutations {
            self.apply(tx, mutation);
        }
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return Err(TableError::Unknown("the answer was lost".into()));
        }
        Ok(())
    }

    fn apply(&mut self, tx: &Transaction, mutation: &Mutation) {
        match mutation {
            Mutation::Put { key, value } => {
                let revision = self.rows.get(key).map_or(0, |row| row.revision) + 1;
                let row = Row {
                    key: key.clone(),
                    revision,
                    writer: tx.id,
                    value: value.clone(),
                };
                self.rows.insert(key.clone(), row);
            }
            Mutation::Delete { key } => {
                self.rows.remove(key);
            }
        }
    }
}

impl RateLimit {
    fn admit(&mut self, limit: u32) -> Result<(), TableError> {
        let now = Instant::now();
        let is_current = |start: Instant| now.saturating_duration_since(start) < RATE_WINDOW;
        if !self.window_start.is_some_and(is_current) {
            self.window_start = Some(now);
            self.count = 0;
        }
        self.count += 1;
        match limit > 0 && self.count > limit {
            true => Err(TableError::Throttled),
            false => Ok(()),
        }
    }
}
