//! Access to the group's two rows in the table: at most one read and one write at a time. Writes
//! with an unknown outcome are repeated, or resolved by reading the rows.

use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::ids::GroupId;
use crate::owner::group::Action;
use crate::owner::rows;
use crate::owner::rows::GroupRow;
use crate::owner::rows::RowError;
use crate::owner::rows::ShardsRow;
use crate::platform::Condition;
use crate::platform::Mutation;
use crate::platform::Row;
use crate::platform::TableError;
use crate::platform::Transaction;
use crate::platform::WriteId;

/// A read that is unanswered for this long has failed.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// A write that is unanswered for this long is sent again.
const WRITE_TIMEOUT: Duration = Duration::from_millis(600);
/// Initial wait before a retry; doubles with each failure up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The rows as last read or written, with their revisions. An absent row has revision 0.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rows {
    /// The row with the group's term and members.
    pub group: Option<GroupRow>,
    /// Revision of that row; 0 if absent.
    pub group_revision: u64,
    /// The row with the owners of the shards.
    pub shards: Option<ShardsRow>,
    /// Revision of the row of owners; 0 if absent.
    pub shards_revision: u64,
}

/// The meaning of an answer of the table.
#[derive(Debug)]
pub enum Outcome {
    /// Nothing new.
    Nothing,
    /// The rows were read.
    Read {
        /// When the read started.
        started: Instant,
    },
    /// The write took effect.
    Written {
        /// When the write was first sent.
        started: Instant,
    },
    /// The write had no effect because another writer changed a row first; the rows were read
    /// again.
    Superseded {
        /// When that read started.
        started: Instant,
    },
    /// The operation failed or was not answered, and is repeated.
    Failed,
    /// A row cannot be decoded.
    Malformed(RowError),
}

/// Access to the rows of one group.
#[derive(Debug)]
pub struct Store {
    keys: [String; 2],
    rows: Option<Rows>,
    read: Option<Read>,
    reads: u64,
    write: Option<Write>,
    backoff: Duration,
    failed: bool,
    last_answer: Option<Instant>,
    /// Revisions that the rows are known to have reached; a read with older ones is stale.
    min_revisions: [u64; 2],
}

#[derive(Debug)]
struct Read {
    id: u64,
    started: Instant,
}

#[derive(Debug)]
struct Write {
    tx: Transaction,
    after: Rows,
    started: Instant,
    /// When to send it again if it is still unanswered.
    retry_at: Instant,
    /// Whether an attempt was rejected because of a row's revision. The write may still have taken
    /// effect by an earlier attempt whose answer was lost.
    conflicted: bool,
}

impl Store {
    /// Creates the store of a group without knowledge of its rows.
    pub fn new(group: &GroupId) -> Self {
        Self {
            keys: [rows::group_key(group), rows::shards_key(group)],
            rows: None,
            read: None,
            reads: 0,
            write: None,
            backoff: MIN_BACKOFF,
            failed: false,
            last_answer: None,
            min_revisions: [0, 0],
        }
    }

    /// Returns the rows as last read or written.
    pub fn rows(&self) -> Option<&Rows> {
        self.rows.as_ref()
    }

    /// Returns the sum of the two rows' revisions, which increases with every write.
    pub fn revision(&self) -> u64 {
        let rows = self.rows.as_ref();
        rows.map_or(0, |rows| rows.group_revision + rows.shards_revision)
    }

    /// Returns true if a write is in progress.
    pub fn writing(&self) -> bool {
        self.write.is_some()
    }

    /// Returns true if a read is in progress.
    pub fn reading(&self) -> bool {
        self.read.is_some()
    }

    /// Returns true if the table answered within the last `within` and has not failed since.
    pub fn answered_within(&self, now: Instant, within: Duration) -> bool {
        !self.failed && self.last_answer.is_some_and(|at| now <= at + within)
    }

    /// Returns true if the last operation failed.
    pub fn failed(&self) -> bool {
        self.failed
    }

    /// Returns the wait before the next retry.
    pub fn backoff(&self) -> Duration {
        self.backoff
    }

    /// Returns when [`Store::tick`] must be called next.
    pub fn next_tick(&self) -> Option<Instant> {
        let read = self.read.as_ref().map(|read| read.started + READ_TIMEOUT);
        let write = self
            .write
            .as_ref()
            .filter(|write| !write.conflicted)
            .map(|write| write.retry_at);
        read.into_iter().chain(write).min()
    }

    /// Starts a read of the rows unless one is in progress.
    pub fn read(&mut self, now: Instant) -> Option<Action> {
        if self.read.is_some() {
            return None;
        }
        self.reads += 1;
        let id = self.reads;
        self.read = Some(Read { id, started: now });
        Some(Action::Read {
            id,
            keys: self.keys.to_vec(),
        })
    }

    /// Starts a write of the given rows on condition that neither row has changed since last known.
    /// Returns `None` if a write is in progress or the rows are unknown.
    pub fn commit(
        &mut self,
        now: Instant,
        rng: &mut ChaCha8Rng,
        group: Option<GroupRow>,
        shards: Option<ShardsRow>,
    ) -> Option<Action> {
        if self.write.is_some() {
            return None;
        }
        let known = self.rows.clone()?;
        let [group_key, shards_key] = self.keys.clone();
        let conditions = vec![
            condition(&group_key, known.group_revision),
            condition(&shards_key, known.shards_revision),
        ];
        let mut after = known;
        let mut mutations = Vec::new();
        if let Some(row) = group {
            mutations.push(put(group_key, &row));
            after.group = Some(row);
            after.group_revision += 1;
        }
        if let Some(row) = shards {
            mutations.push(put(shards_key, &row));
            after.shards = Some(row);
            after.shards_revision += 1;
        }
        let tx = Transaction {
            id: WriteId(rng.random()),
            conditions,
            mutations,
        };
        self.write = Some(Write {
            tx: tx.clone(),
            after,
            started: now,
            retry_at: now + WRITE_TIMEOUT,
            conflicted: false,
        });
        Some(Action::Commit(tx))
    }

    /// Handles the answer to a read.
    pub fn on_read(
        &mut self,
        now: Instant,
        id: u64,
        result: Result<Vec<Option<Row>>, TableError>,
    ) -> Outcome {
        let Some(read) = self.read.take_if(|read| read.id == id) else {
            return Outcome::Nothing;
        };
        let rows = match result {
            Ok(rows) => rows,
            Err(_) => return self.record_failure(),
        };
        self.record_success(now);
        let writer = |row: &Option<Row>| row.as_ref().map(|row| row.writer);
        let writers: Vec<_> = rows.iter().map(writer).collect();
        match self.parse(rows) {
            Ok(rows) if self.is_stale(&rows) => return Outcome::Nothing,
            Ok(rows) => self.set_rows(rows),
            Err(error) => return Outcome::Malformed(error),
        }
        self.resolve(&writers, read.started)
    }

    /// Handles the answer to a write.
    pub fn on_committed(
        &mut self,
        now: Instant,
        id: WriteId,
        result: Result<(), TableError>,
        out: &mut Vec<Action>,
    ) -> Outcome {
        let Some(write) = self.write.as_mut().filter(|write| write.tx.id == id) else {
            return Outcome::Nothing;
        };
        match result {
            Ok(()) => {
                let started = write.started;
                let after = write.after.clone();
                self.write = None;
                self.set_rows(after);
                self.record_success(now);
                Outcome::Written { started }
            }
            Err(TableError::Conflict { key, found }) => {
                write.conflicted = true;
                let row = usize::from(key == self.keys[1]);
                self.min_revisions[row] = self.min_revisions[row].max(found);
                self.read = None;
                out.extend(self.read(now));
                Outcome::Nothing
            }
            Err(_) => {
                write.retry_at = now + self.backoff;
                self.record_failure()
            }
        }
    }

    /// Fails an unanswered read and repeats an unanswered write.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        let expired = |read: &mut Read| now >= read.started + READ_TIMEOUT;
        if self.read.take_if(expired).is_some() {
            self.record_failure();
        }
        let backoff = self.backoff;
        let Some(write) = self.write.as_mut() else {
            return;
        };
        if write.conflicted {
            out.extend(self.read(now));
        } else if now >= write.retry_at {
            write.retry_at = now + backoff.max(WRITE_TIMEOUT);
            out.push(Action::Commit(write.tx.clone()));
        }
    }

    /// Resolves a conflicted write: it took effect if a row names it as its writer.
    fn resolve(&mut self, writers: &[Option<WriteId>], started: Instant) -> Outcome {
        let Some(write) = self.write.take_if(|write| write.conflicted) else {
            return Outcome::Read { started };
        };
        if writers.contains(&Some(write.tx.id)) {
            return Outcome::Written {
                started: write.started,
            };
        }
        Outcome::Superseded { started }
    }

    fn is_stale(&self, rows: &Rows) -> bool {
        rows.group_revision < self.min_revisions[0] || rows.shards_revision < self.min_revisions[1]
    }

    fn set_rows(&mut self, rows: Rows) {
        self.min_revisions = [rows.group_revision, rows.shards_revision];
        self.rows = Some(rows);
    }

    fn parse(&self, rows: Vec<Option<Row>>) -> Result<Rows, RowError> {
        let mut rows = rows.into_iter();
        let group = rows.next().flatten();
        let shards = rows.next().flatten();
        let revision = |row: &Option<Row>| row.as_ref().map_or(0, |row| row.revision);
        Ok(Rows {
            group_revision: revision(&group),
            shards_revision: revision(&shards),
            group: group
                .map(|row| rows::decode(&row.key, &row.value))
                .transpose()?,
            shards: shards
                .map(|row| rows::decode(&row.key, &row.value))
                .transpose()?,
        })
    }

    fn record_failure(&mut self) -> Outcome {
        self.failed = true;
        self.backoff = MAX_BACKOFF.min(self.backoff * 2);
        Outcome::Failed
    }

    fn record_success(&mut self, now: Instant) {
        self.failed = false;
        self.last_answer = Some(now);
        self.backoff = MIN_BACKOFF;
    }
}

fn condition(key: &str, revision: u64) -> Condition {
    Condition {
        key: key.into(),
        revision,
    }
}

fn put<T: serde::Serialize>(key: String, row: &T) -> Mutation {
    Mutation::Put {
        key,
        value: rows::encode(row),
    }
}
