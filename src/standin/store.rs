//! A transactional table, object store and VM list in memory, with faults.

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

/// What goes wrong with the stand-in; all off by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Nothing is answered.
    pub down: bool,
    /// Every answer waits this long, in milliseconds.
    pub slow_ms: u64,
    /// This many commits take effect and lose their answer.
    pub lose_answers: u32,
    /// Reads beyond this many a second are refused; 0 means no cap.
    pub reads_per_second: u32,
    /// Commits beyond this many a second are refused; 0 means no cap.
    pub writes_per_second: u32,
    /// Reads see the rows as they were when this was set.
    pub stale: bool,
}

/// How often the stand-in was used since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Reads and scans.
    pub reads: u64,
    /// Commits.
    pub writes: u64,
}

/// A table, object store and VM list in memory; clones share the same rows.
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
    reads: Rate,
    writes: Rate,
}

#[derive(Debug, Default)]
struct Rate {
    since: Option<Instant>,
    count: u32,
}

impl FakeTable {
    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        if faults.stale && !state.faults.stale {
            state.stale_rows = state.rows.clone();
        }
        state.faults = faults;
    }

    /// Returns the faults that are set.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.lock().vms = vms;
    }

    /// Returns how often the table was used.
    pub fn usage(&self) -> Usage {
        self.lock().usage
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn pause(&self) -> Result<(), TableError> {
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
        self.pause().await?;
        let mut state = self.lock();
        Ok(state.read()?.get(key).cloned())
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, TableError> {
        self.pause().await?;
        let mut state = self.lock();
        let from = state.read()?.range(prefix.to_owned()..);
        let rows = from.take_while(|(key, _)| key.starts_with(prefix));
        Ok(rows.map(|(_, row)| row.clone()).collect())
    }

    async fn commit(&self, tx: &Transaction) -> Result<(), TableError> {
        self.pause().await?;
        self.lock().commit(tx)
    }
}

impl ObjectStore for FakeTable {
    async fn read(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        self.pause().await?;
        Ok(self.lock().objects.get(name).cloned())
    }

    async fn write(&self, name: &str, body: &[u8]) -> Result<(), TableError> {
        self.pause().await?;
        self.lock().objects.insert(name.to_owned(), body.to_vec());
        Ok(())
    }
}

impl VmList for FakeTable {
    async fn vms(&self) -> Result<Vec<VmEntry>, TableError> {
        self.pause().await?;
        Ok(self.lock().vms.clone())
    }
}

impl State {
    fn read(&mut self) -> Result<&BTreeMap<String, Row>, TableError> {
        self.usage.reads += 1;
        self.reads.take(self.faults.reads_per_second)?;
        match self.faults.stale {
            true => Ok(&self.stale_rows),
            false => Ok(&self.rows),
        }
    }

    fn commit(&mut self, tx: &Transaction) -> Result<(), TableError> {
        self.usage.writes += 1;
        self.writes.take(self.faults.writes_per_second)?;
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

impl Rate {
    fn take(&mut self, cap: u32) -> Result<(), TableError> {
        let now = Instant::now();
        let current = |since: Instant| now.saturating_duration_since(since) < RATE_WINDOW;
        if !self.since.is_some_and(current) {
            self.since = Some(now);
            self.count = 0;
        }
        self.count += 1;
        match cap > 0 && self.count > cap {
            true => Err(TableError::Throttled),
            false => Ok(()),
        }
    }
}
