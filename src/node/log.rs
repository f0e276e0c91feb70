//! Structured log lines on standard output: one JSON object a line, bounded in rate, never
//! blocking. Lines that do not fit are counted and left out.

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

/// Lines of one kind that are written a second; a node handles tens of requests a second, and a
/// storm of failures is told by its first lines and its count.
const LINES_PER_SECOND: u32 = 40;
/// Bytes that wait to be written; more are dropped.
const MOST_WAITING: usize = 256 << 10;
/// Bytes written at a time: what a pipe takes whole.
const WRITE_BYTES: usize = 4 << 10;

/// The log of a process.
#[derive(Debug)]
pub struct Log {
    node: String,
    waiting: RefCell<Vec<u8>>,
    rates: RefCell<BTreeMap<u16, (Instant, u32)>>,
    dropped: Cell<u64>,
}

/// One line in the making.
#[derive(Debug)]
pub struct Line {
    text: String,
}

impl Log {
    /// Starts a log.
    pub fn new(node: &str) -> Self {
        Self {
            node: node.to_owned(),
            waiting: RefCell::default(),
            rates: RefCell::default(),
            dropped: Cell::new(0),
        }
    }

    /// Returns the number of lines left out.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Writes an event with its fields, unless too many of its kind came this second.
    pub fn record(&self, event: Event, fields: impl FnOnce(&mut Line)) {
        if !self.has_room(event) {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        let name: &str = event.into();
        let mut line = Line {
            text: String::with_capacity(192),
        };
        let ms = SystemTime::now().duration_since(UNIX_EPOCH);
        let ms = ms.map_or(0, |passed| passed.as_millis());
        line.raw(format_args!("{{\"ms\":{ms},\"event\":{}", event.number()));
        line.text("name", name);
        line.text("level", event.level().as_str());
        line.text("node", &self.node);
        fields(&mut line);
        line.text.push_str("}\n");
        self.waiting.borrow_mut().extend(line.text.as_bytes());
    }

    /// Writes what waits, as far as standard output takes it without blocking.
    pub fn flush(&self) {
        let mut waiting = self.waiting.borrow_mut();
        let mut written = 0;
        let out = rustix::stdio::stdout();
        while written < waiting.len() {
            let mut ready = [PollFd::new(&out, PollFlags::OUT)];
            let polled = rustix::event::poll(&mut ready, Some(&rustix::event::Timespec::default()));
            let open =
                polled.is_ok_and(|count| count > 0) && ready[0].revents().contains(PollFlags::OUT);
            if !open {
                break;
            }
            let end = waiting.len().min(written + WRITE_BYTES);
            match rustix::io::write(out, &waiting[written..end]) {
                Ok(count) => written += count,
                Err(_) => break,
            }
        }
        waiting.drain(..written);
    }

    fn has_room(&self, event: Event) -> bool {
        if self.waiting.borrow().len() >= MOST_WAITING {
            return false;
        }
        let now = Instant::now();
        let mut rates = self.rates.borrow_mut();
        let (since, count) = rates.entry(event.number()).or_insert((now, 0));
        if now.saturating_duration_since(*since).as_secs() >= 1 {
            (*since, *count) = (now, 0);
        }
        *count += 1;
        *count <= LINES_PER_SECOND
    }
}

impl Line {
    /// Adds a text.
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

    /// Adds something that prints as a text.
    pub fn show(&mut self, name: &str, value: impl Display) {
        self.text(name, &value.to_string());
    }

    /// Adds a number.
    pub fn number(&mut self, name: &str, value: u64) {
        self.raw(format_args!(",\"{name}\":{value}"));
    }

    fn raw(&mut self, text: std::fmt::Arguments<'_>) {
        self.text
            .write_fmt(text)
            .expect("writing to memory cannot fail");
    }
}
