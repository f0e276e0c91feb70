//! Other entries' calls that wait for the same service: the oldest goes first.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::ids::VmId;

/// The entries that have calls waiting for one service, with the oldest call's arrival.
#[derive(Debug, Default)]
pub(crate) struct Contenders {
    count: AtomicUsize,
    list: Mutex<Vec<(VmId, Instant)>>,
}

impl Contenders {
    /// Records since when an entry's oldest call waits; `None` when none does.
    pub(crate) fn set(&self, vm: &VmId, since: Option<Instant>) {
        let mut list = self.lock();
        list.retain(|(held, _)| held != vm);
        list.extend(since.map(|since| (vm.clone(), since)));
        self.count.store(list.len(), Ordering::Relaxed);
    }

    /// Returns how many entries have a call that waits since before an instant.
    pub(crate) fn ahead_of(&self, since: Instant) -> usize {
        if self.count.load(Ordering::Relaxed) == 0 {
            return 0;
        }
        self.lock().iter().filter(|(_, at)| *at < since).count()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(VmId, Instant)>> {
        self.list.lock().unwrap_or_else(|e| e.into_inner())
    }
}
