//! Bounds the memory that the responses of all targets together occupy while they are buffered.

use std::cell::Cell;
use std::rc::Rc;

/// Part of a process's memory that is available for buffered responses. Buffers may have twice the size
/// of their contents, and a response is encoded beside them.
const MEMORY_DIVISOR: u64 = 16;
/// Bytes of each response that are buffered in any case.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// The bytes that are held by all [`HeldBytes`] of an account.
#[derive(Clone, Debug)]
pub struct ByteAccount {
    limit: usize,
    used: Rc<Cell<usize>>,
}

impl ByteAccount {
    /// Creates the account of a process with this memory, in bytes.
    pub fn new(memory: u64) -> Self {
        Self {
            limit: (memory / MEMORY_DIVISOR) as usize,
            used: Rc::default(),
        }
    }

    /// Returns a holder of no bytes.
    pub fn hold(&self) -> HeldBytes {
        HeldBytes {
            account: self.clone(),
            count: 0,
        }
    }

    /// Returns the number of bytes that are held.
    pub fn used(&self) -> usize {
        self.used.get()
    }
}

/// Bytes of an account, which are given back on drop.
#[derive(Debug)]
pub struct HeldBytes {
    account: ByteAccount,
    count: usize,
}

impl HeldBytes {
    /// Makes room for a buffer of `size` bytes; returns false if the account is full.
    #[must_use]
    pub fn grow(&mut self, size: usize) -> bool {
        let more = size
            .saturating_sub(UNCOUNTED_BYTES)
            .saturating_sub(self.count);
        let used = self.account.used.get() + more;
        if more > 0 && used > self.account.limit {
            return false;
        }
        self.account.used.set(used);
        self.count += more;
        true
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let used = &self.account.used;
        used.set(used.get() - self.count);
    }
}
