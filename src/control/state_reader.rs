//! Reads the state in force: a cheap look at one row, and all rows only after a change.

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

const LOAD_ATTEMPTS: u32 = 3;

/// Reads the state in force; remembers which revision it read last.
#[derive(Debug, Default)]
pub struct StateReader {
    known: Mutex<Known>,
    down: AtomicBool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Known {
    revision: u64,
    number: TicketNumber,
}

impl StateReader {
    /// Reads what is newer than `held`; `verify` proves by a transaction that it is not stale.
    pub async fn read(&self, table: &impl Table, held: TicketNumber, verify: bool) -> StateRead {
        match self.try_read(table, held, verify).await {
            Ok(answer) => {
                if self.down.swap(false, Ordering::Relaxed) {
                    record(Event::TableUp, format_args!("the table answers again"));
                }
                answer
            }
            Err(error) => {
                if !self.down.swap(true, Ordering::Relaxed) {
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
        let known = *self.lock();
        if revision == known.revision && known.number <= held {
            let verified = verify && is_current(table, revision).await?;
            let number = known.number;
            return Ok(StateRead::NotNewer { number, verified });
        }
        let snapshot = load_whole(table).await?;
        let number = snapshot.state.number;
        let revision = snapshot.revision;
        *self.lock() = Known { revision, number };
        let verified = verify && is_current(table, revision).await?;
        if number <= held {
            return Ok(StateRead::NotNewer { number, verified });
        }
        let state = snapshot.state;
        Ok(StateRead::Newer { state, verified })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn load_whole(table: &impl Table) -> Result<Snapshot, LoadError> {
    for _ in 1..LOAD_ATTEMPTS {
        match load(table).await {
            Err(LoadError::Torn) => {}
            done => return done,
        }
    }
    load(table).await
}

// A transaction runs on the newest rows, whatever a read saw.
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
