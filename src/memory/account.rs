//! The account, its shares, and the guards that give bytes back.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use strum::EnumCount;
use strum::EnumIter;
use strum::IntoStaticStr;

use crate::memory::reading::Progress;

/// The limits are multiples of the process's memory divided by this.
const MEMORY_PARTS: u64 = 16;
/// Parts for everything. The rest is for the code, the tables of targets and keys, the stacks and
/// buffers of connections, and the slack of the allocator.
const TOTAL_PARTS: u64 = 11;
/// Parts for large bodies and responses together, so that the last part is left to small requests.
const LARGE_PARTS: u64 = 10;
/// Parts for responses.
const RESPONSE_PARTS: u64 = 1;

/// Bytes of each response that are buffered in any case.
const UNCOUNTED_RESPONSE_BYTES: usize = 16 << 10;
/// Requests that hold at most this many bytes belong to [`Share::Small`].
pub const SMALL_BYTES: usize = 64 << 10;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Share {
    /// Heads, pipelined requests and small bodies. They may use the whole account, a part of which is
    /// reserved for them.
    Small,
    /// Request bodies that are not small.
    Bodies,
    /// Responses of targets.
    Responses,
}

/// An account of held bytes. Clones share it.
#[derive(Clone, Debug)]
pub struct Account(pub(super) Rc<AccountState>);

#[derive(Debug)]
pub(super) struct AccountState {
    memory: u64,
    used: [Cell<usize>; Share::COUNT],
    /// The bodies that are being read, in the order in which they began.
    pub(super) readings: RefCell<BTreeMap<u64, Rc<Progress>>>,
    pub(super) next_reading: Cell<u64>,
}

impl Account {
    /// Creates the account of a process with this memory, in bytes.
    pub fn new(memory: u64) -> Self {
        Self(Rc::new(AccountState {
            memory,
            used: Default::default(),
            readings: RefCell::default(),
            next_reading: Cell::new(0),
        }))
    }

    /// Returns a guard that holds no bytes.
    pub fn hold(&self, share: Share) -> Held {
        Held {
            account: self.clone(),
            share,
            count: 0,
        }
    }

    /// Returns the number of bytes that are held in a share.
    pub fn used_by(&self, share: Share) -> usize {
        self.0.used[share as usize].get()
    }

    /// Returns the number of bytes that are held.
    pub fn used(&self) -> usize {
        self.0.used.iter().map(Cell::get).sum()
    }

    /// Returns the number of bytes that can be held.
    pub fn limit(&self) -> usize {
        self.parts(TOTAL_PARTS)
    }

    fn parts(&self, count: u64) -> usize {
        (self.0.memory / MEMORY_PARTS * count) as usize
    }

    /// Returns how many bytes are missing to hold `more` in a share, after `less` were given back in
    /// another one.
    fn shortage(&self, share: Share, more: usize, less: usize) -> usize {
        let over = |used: usize, parts: u64| (used + more).saturating_sub(self.parts(parts));
        let responses = self.used_by(Share::Responses);
        let large = self.used_by(Share::Bodies) + responses;
        let total = over(self.used() - less, TOTAL_PARTS);
        match share {
            Share::Small => total,
            Share::Bodies => total.max(over(large, LARGE_PARTS)),
            Share::Responses => {
                let of_share = over(responses, RESPONSE_PARTS);
                total.max(over(large, LARGE_PARTS)).max(of_share)
            }
        }
    }
}

/// Bytes of an account, which are given back on drop.
#[derive(Debug)]
pub struct Held {
    account: Account,
    share: Share,
    count: usize,
}

impl Held {
    /// Returns the number of bytes that the guard holds.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Makes room for a buffer of `size` bytes; returns false, and changes nothing, if it does not fit.
    #[must_use]
    pub fn grow(&mut self, size: usize) -> bool {
        let counted = match self.share {
            Share::Responses => size.saturating_sub(UNCOUNTED_RESPONSE_BYTES),
            Share::Small | Share::Bodies => size,
        };
        self.grow_in(self.share, counted).is_ok()
    }

    /// Holds at least `size` bytes in a share, to which those held so far move.
    ///
    /// # Errors
    ///
    /// Changes nothing, and returns the number of missing bytes, if they do not fit.
    pub(super) fn grow_in(&mut self, share: Share, size: usize) -> Result<(), usize> {
        if share == self.share && size <= self.count {
            return Ok(());
        }
        let size = size.max(self.count);
        let moved = if share == self.share { 0 } else { self.count };
        let more = size - self.count + moved;
        let missing = self.account.shortage(share, more, moved);
        if missing > 0 {
            return Err(missing);
        }
        self.set(0);
        self.share = share;
        self.set(size);
        Ok(())
    }

    /// Gives back what exceeds `size` bytes.
    pub fn shrink(&mut self, size: usize) {
        self.set(self.count.min(size));
    }

    fn set(&mut self, count: usize) {
        let used = &self.account.0.used[self.share as usize];
        used.set(used.get() - self.count + count);
        self.count = count;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.set(0);
    }
}
