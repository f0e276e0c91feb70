//! Structured logging to standard output: one JSON object per line, rate-limited and non-blocking.
//! Lines over the limits are dropped and counted.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Write;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::event::PollFd;
use rustix::event::PollFlags;

use crate::events::Event;

/// Maximum lines per second for each event. A node handles tens of requests per second; of a burst
/// of failures, the first lines and the count are enough.
const MAX_LINES_PER_SECOND: u32 = 40;
/// Size limit of the write buffer; further lines are dropped.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Bytes per write: a pipe accepts this much atomically (`PIPE_BUF`).
const WRITE_BYTES: usize = 4 << 10;

/// The log of one process.
#[derive(Debug)]
pub struct Log {
    node: String,
    buffer: RefCell<Vec<u8>>,
    /// Start of the current second and lines in it, by event number.
    rates: RefCell<BTreeMap<u16, (Instant, u32)>>,
    dropped: Cell<u64>,
}

/// A log line that is being built.
#[derive(Debug)]
pub struct Line {
    text: String,
}

impl Log {
    /// Creates a log whose lines contain the node's name.
    pub fn new(node: &str) -> Self {
        Self {
            node: node.to_owned(),
            buffer: RefCell::default(),
            rates: RefCell::default(),
            dropped: Cell::new(0),
        }
    }

    /// Returns the number of dropped lines.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Buffers an event with its fields, or drops it if the rate or buffer limit is reached.
    pub fn record(&self, event: Event, fields: impl FnOnce(&mut Line)) {
        if !self.has_capacity(event) {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        let name: &str = event.into();
        let mut line = Line {
            text: String::with_capacity(192),
        };
        let ms = SystemTime::now().duration_since(UNIX_EPOCH);
        let ms = ms.map_or(0, |elapsed| elapsed.as_millis());
        line.raw(format_args!("{{\"ms\":{ms},\"event\":{}", event.number()));
        line.text("name", name);
        line.text("level", event.level().as_str());
        line.text("node", &self.node);
        fields(&mut line);
        line.text.push_str("}\n");
        self.buffer.borrow_mut().extend(line.text.as_bytes());
    }

    /// Writes as much of the buffer as standard output accepts without blocking.
    pub fn flush(&self) {
        let mut buffer = self.buffer.borrow_mut();
        let mut written = 0;
        let out = rustix::stdio::stdout();
        while written < buffer.len() {
            let mut ready = [PollFd::new(&out, PollFlags::OUT)];
            let polled = rustix::event::poll(&mut ready, Some(&rustix::event::Timespec::default()));
            let is_writable =
                polled.is_ok_and(|count| count > 0) && ready[0].revents().contains(PollFlags::OUT);
            if !is_writable {
                break;
            }
            let end = buffer.len().min(written + WRITE_BYTES);
            match rustix::io::write(out, &buffer[written..end]) {
                Ok(count) => written += count,
                Err(_) => break,
            }
        }
        buffer.drain(..written);
    }

    fn has_capacity(&self, event: Event) -> bool {
        if self.buffer.borrow().len() >= MAX_BUFFERED_BYTES {
            return false;
        }
        let now = Instant::now();
        let mut rates = self.rates.borrow_mut();
        let (since, count) = rates.entry(event.number()).or_insert((now, 0));
        if now.saturating_duration_since(*since).as_secs() >= 1 {
            (*since, *count) = (now, 0);
        }
        *count += 1;
        *count <= MAX_LINES_PER_SECOND
    }
}

impl Line {
    /// Adds a string field; the value is escaped as JSON, the name is not.
    pub fn text(&mut self, name: &str, value: &str) {
        self.raw(format_args!(",\"{name}\":\""));
        for c in value.chars() {
            match c {
                '"' | '\\' => self.text.extend(['\\', c]),
                c if c.is_control() => self.raw(format_args!("\\u{:04x}", c as u32)),
                c => self.text.push(c),
            }
        }
        self.text.push('"');
    }

    /// Adds a string field with the `Display` output of a value.
    pub fn show(&mut self, name: &str, value: impl Display) {
        self.text(name, &value.to_string());
    }

    /// Adds a numeric field.
    pub fn number(&mut self, name: &str, value: u64) {
        self.raw(format_args!(",\"{name}\":{value}"));
    }

    fn raw(&mut self, text: std::fmt::Arguments<'_>) {
        self.text
            .write_fmt(text)
            .expect("writing to memory cannot fail");
    }
}
