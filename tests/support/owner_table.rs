//! In-memory table with injectable faults, for the simulation in ownership tests.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;

use gooseberryloft::platform::Mutation;
use gooseberryloft::platform::Row;
use gooseberryloft::platform::TableError;
use gooseberryloft::platform::Transaction;

/// How the table handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableMode {
    Up,
    Down,
    /// Writes take effect, but their answers are lost.
    LoseAnswers,
}

pub struct FakeTable {
    pub mode: TableMode,
    pub latency: Duration,
    pub rows: BTreeMap<String, Row>,
    pub writes: u64,
}

impl FakeTable {
    pub fn new() -> Self {
        Self {
            mode: TableMode::Up,
            latency: Duration::from_millis(20),
            rows: BTreeMap::new(),
            writes: 0,
        }
    }

    pub fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, TableError> {
        match self.mode {
            TableMode::Down => Err(TableError::Unknown("down".into())),
            _ => Ok(keys.iter().map(|key| self.rows.get(key).cloned()).collect()),
        }
    }

    pub fn commit(&mut self, tx: &Transaction) -> Result<(), TableError> {
        if self.mode == TableMode::Down {
            return Err(TableError::Throttled);
        }
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
        self.writes += 1;
        match self.mode {
            TableMode::LoseAnswers => Err(TableError::Unknown("answer lost".into())),
            _ => Ok(()),
        }
    }

    fn apply(&mut self, tx: &Transaction, mutation: &Mutation) {
        match mutation {
            Mutation::Delete { key } => {
                self.rows.remove(key);
            }
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
        }
    }
}
