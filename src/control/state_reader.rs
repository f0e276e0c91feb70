//! Reads the state in force from the table: one row on each read, and all rows only if its revision
//! has changed.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::events::Event;
use crate::events::record;
use crate::ids::TicketNumber;
use crate::platform::Condition;
use crate::platform::Table;
use crate::platform::TableError;
use crate::platform::Transaction;
use crate::platform::WriteId;
use crate::state_sync::StateRead;
use crate::ticket::IN_FORCE_KEY;
use crate::ticket::LoadError;
use crate::ticket::Snapshot;
use crate::ticket::load;

const MAX_LOAD_ATTEMPTS: u32 = 3;

/// Reads the state in force and caches the revision of the last read.
#[derive(Debug, Default)]
pub struct StateReader {
    last_read: Mutex<LastRead>,
    unavailable: AtomicBool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LastRead {
    revision: u64,
    number: TicketNumber,
}

impl StateReader {
    /// Reads the state if it is newer than `held`. With `verify`, a transaction checks that the read
    /// was not stale.
    pub async fn read(&self, table: &impl Table, held: TicketNumber, verify: bool) -> StateRead {
        match self.try_read(table, held, verify).await {
            Ok(answer) => {
                if self.unavailable.swap(false, Ordering::Relaxed) {
                    record(Event::TableUp, format_args!("the table responds again"));
                }
                answer
            }
            Err(error) => {
                if !self.unavailable.swap(true, Ordering::Relaxed) {
                    record(Event::TableDown, format_args!("{error}"));
                }
                StateRead::Failed
            }
        }
    }

    async fn try_read(
        &self,
        table: &impl Table,
        held: TicketNumber,
        verify: bool,
    ) -> Result<StateRead, LoadError> {
        let row = table.get(IN_FORCE_KEY).await?;
        let revision = row.map_or(0, |row| row.revision);
        let last_read = *self.lock();
        if revision == last_read.revision && last_read.number <= held {
            let verified = verify && is_current(table, revision).await?;
            let number = last_read.number;
            return Ok(StateRead::NotNewer { number, verified });
        }
        let snapshot = load_consistent(table).await?;
        let number = snapshot.state.number;
        let revision = snapshot.revision;
        *self.lock() = LastRead { revision, number };
        let verified = verify && is_current(table, revision).await?;
        if number <= held {
            return Ok(StateRead::NotNewer { number, verified });
        }
        let state = snapshot.state;
        Ok(StateRead::Newer { state, verified })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LastRead> {
        self.last_read
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

async fn load_consistent(table: &impl Table) -> Result<Snapshot, LoadError> {
    for _ in 1..MAX_LOAD_ATTEMPTS {
        match load(table).await {
            Err(LoadError::Torn) => {}
            done => return done,
        }
    }
    load(table).await
}

// Reads may be stale, but a transaction checks its conditions against the latest rows.
async fn is_current(table: &impl Table, revision: u64) -> Result<bool, TableError> {
    let key = IN_FORCE_KEY.to_owned();
    let tx = Transaction {
        id: WriteId(rand::random()),
        conditions: vec![Condition { key, revision }],
        mutations: Vec::new(),
    };
    match table.commit(&tx).await {
        Ok(()) => Ok(true),
        Err(TableError::Conflict { .. }) => Ok(false),
        Err(error) => Err(error),
    }
}
