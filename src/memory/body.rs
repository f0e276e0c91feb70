//! A request body in memory.

use crate::memory::account::Held;
use crate::memory::account::SMALL_BYTES;

/// Size of the first segment of a body whose length is not known.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;
/// Size of the other segments. It is below the allocator's threshold for mapping blocks separately,
/// so that freed segments are reused by later bodies and leave no gaps of other sizes.
const SEGMENT_BYTES: usize = SMALL_BYTES;

/// A body in segments of equal size, which are never moved, so that a growing body takes no more
/// memory than its contents and one segment.
#[derive(Debug)]
pub struct Body {
    segments: Vec<Vec<u8>>,
    length: usize,
    /// The sum of the capacities of the segments.
    capacity: usize,
    /// The declared length; `None` if it is not known.
    declared: Option<usize>,
    held: Held,
}

impl Body {
    /// Creates an empty body whose bytes are counted in `held`.
    pub(super) fn new(declared: Option<usize>, held: Held) -> Self {
        Self {
            segments: Vec::new(),
            length: 0,
            capacity: 0,
            declared,
            held,
        }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns true if the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the contents in order.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Vec::as_slice)
    }

    pub(super) fn held_mut(&mut self) -> &mut Held {
        &mut self.held
    }

    /// Returns how much memory the body takes with `more` bytes.
    pub(super) fn size_with(&self, more: usize) -> usize {
        let length = self.length + more;
        if let Some(declared) = self.declared {
            return declared;
        }
        match length.saturating_sub(self.capacity) {
            0 => self.capacity,
            missing => self.capacity + missing.next_multiple_of(self.next_segment()),
        }
    }

    /// Returns the size of the next segment.
    fn next_segment(&self) -> usize {
        let default = match self.segments.len() {
            0 if self.declared.is_none() => FIRST_SEGMENT_BYTES,
            _ => SEGMENT_BYTES,
        };
        let missing = self.declared.map(|length| length - self.length);
        missing.map_or(default, |missing| missing.clamp(1, SEGMENT_BYTES))
    }

    pub(super) fn push(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            let is_full = |segment: &Vec<u8>| segment.len() == segment.capacity();
            if self.segments.last().is_none_or(is_full) {
                let segment = Vec::with_capacity(self.next_segment());
                self.capacity += segment.capacity();
                self.segments.push(segment);
            }
            let Some(last) = self.segments.last_mut() else {
                return;
            };
            let count = data.len().min(last.capacity() - last.len());
            last.extend_from_slice(&data[..count]);
            self.length += count;
            data = &data[count..];
        }
    }
}
