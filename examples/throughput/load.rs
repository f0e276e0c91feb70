//! Callers that ask as fast as they can, or at a steady rate whatever the answers do.

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::traffic_support::read_head;
use crate::traffic_support::read_response;

const WARM_UP: Duration = Duration::from_millis(500);
const SPAN: Duration = Duration::from_secs(3);
const REQUEST: &[u8] = b"GET /roster HTTP/1.1\r\nhost: x\r\naccept: */*\r\n\r\n";

/// How the callers ask.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The number of callers, each with a connection of its own.
    pub callers: usize,
    /// Requests a second over all callers; `None` asks again at once.
    pub rate: Option<f64>,
}

/// What the callers saw.
#[derive(Clone, Copy, Debug)]
pub struct Measured {
    /// Requests sent, those of the warm-up included.
    pub sent: u64,
    /// Answers counted, without the warm-up.
    pub answers: u64,
    /// Requests without the answer expected.
    pub failed: u64,
    /// Median latency, from the time at which the request was due.
    pub p50: Duration,
    /// 99th percentile of the latency.
    pub p99: Duration,
}

struct Seen {
    sent: u64,
    failed: u64,
    latencies: Histogram<u64>,
}

impl Measured {
    /// Returns the answers a second.
    pub fn rate(&self) -> f64 {
        self.answers as f64 / SPAN.as_secs_f64()
    }
}

impl Load {
    /// Runs the callers, spread over these addresses.
    pub fn run(self, addresses: &[SocketAddr]) -> Measured {
        let started = Instant::now();
        let callers = (0..self.callers).map(|n| {
            let address = addresses[n % addresses.len()];
            let period = self
                .rate
                .map(|rate| Duration::from_secs_f64(self.callers as f64 / rate));
            let offset = period
                .unwrap_or_default()
                .mul_f64(n as f64 / self.callers as f64);
            thread::spawn(move || ask(address, started + offset, period))
        });
        let callers: Vec<_> = callers.collect();
        let mut all = Seen::new();
        for caller in callers {
            let seen = caller.join().expect("a caller does not panic");
            all.sent += seen.sent;
            all.failed += seen.failed;
            all.latencies.add(seen.latencies).expect("equal bounds");
        }
        let quantile = |q| Duration::from_micros(all.latencies.value_at_quantile(q));
        Measured {
            sent: all.sent,
            answers: all.latencies.len(),
            failed: all.failed,
            p50: quantile(0.5),
            p99: quantile(0.99),
        }
    }
}

impl Seen {
    fn new() -> Self {
        let bounds = Histogram::new_with_bounds(1, 60_000_000, 3);
        Self {
            sent: 0,
            failed: 0,
            latencies: bounds.expect("the bounds are valid"),
        }
    }
}

fn ask(address: SocketAddr, started: Instant, period: Option<Duration>) -> Seen {
    let mut seen = Seen::new();
    let mut conn = connect(address);
    let warm = started + WARM_UP;
    let end = warm + SPAN;
    let mut due = started;
    while due < end {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let whole = conn.get_mut().write_all(REQUEST).is_ok();
        let answer = whole.then(|| read_response(&mut conn)).flatten();
        let now = Instant::now();
        seen.sent += 1;
        match answer {
            Some((head, _)) if head.starts_with("HTTP/1.1 200 ") => {
                if due >= warm && now < end {
                    let micros = (now - due).as_micros() as u64;
                    seen.latencies.saturating_record(micros.max(1));
                }
            }
            _ => {
                seen.failed += 1;
                conn = connect(address);
            }
        }
        due = period.map_or(now, |period| due + period);
    }
    seen
}

/// Downloads the large body; returns its length, the time it took and the highest `resident_kb`.
pub fn download(address: SocketAddr, resident_kb: impl Fn() -> u64) -> (usize, Duration, u64) {
    let started = Instant::now();
    let mut conn = connect(address);
    let request = b"GET /large HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    conn.get_mut()
        .write_all(request)
        .expect("the entry takes a request");
    read_head(&mut conn).expect("the entry answers");
    let mut part = vec![0; 1 << 20];
    let (mut bytes, mut peak) = (0, 0);
    loop {
        match conn.read(&mut part) {
            Ok(count) if count > 0 => bytes += count,
            _ => return (bytes, started.elapsed(), peak),
        }
        if bytes >> 24 != (bytes - 1) >> 24 || peak == 0 {
            peak = peak.max(resident_kb());
        }
    }
}

fn connect(address: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(address).expect("the address takes connections");
    stream
        .set_nodelay(true)
        .expect("an open connection takes options");
    BufReader::new(stream)
}
