//! A traffic thread: accepts callers' connections and runs their tasks and timers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::Shutdown;
use std::net::TcpListener as StdListener;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use futures::FutureExt;

use crate::burn::Recorder;
use crate::events::Event;
use crate::events::record;
use crate::ids::DataCentre;
use crate::ids::ServiceId;
use crate::route::Router;
use crate::route::RouterConfig;
use crate::traffic::drain::Drain;
use crate::traffic::drain::Stage;
use crate::traffic::pool::Pool;
use crate::traffic::serve;
use crate::traffic::stats::Stats;
use crate::traffic::timers::RESOLUTION;
use crate::traffic::timers::Timers;

const POOL_SWEEP_PERIOD: Duration = Duration::from_secs(1);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The state that all threads of an entry share.
#[derive(Debug)]
pub struct Shared {
    /// Chooses the target of each request.
    pub router: Router,
    /// The data centre that the entry runs in.
    pub data_centre: DataCentre,
    /// Idle connections to targets.
    pub pool: Pool,
    /// Stage of the graceful shutdown, and the number of requests in flight.
    pub drain: Drain,
    /// Request counters.
    pub stats: Stats,
    /// Whether no controller has confirmed the view within the stale limit.
    pub stale: AtomicBool,
    /// Counters for the burn report.
    pub burn: Recorder,
}

impl Shared {
    /// Creates the state with an empty view, which is stale.
    pub fn new(config: RouterConfig, burn: Recorder) -> Self {
        Self {
            data_centre: config.data_centre.clone(),
            router: Router::with_config(Arc::default(), config),
            pool: Pool::default(),
            drain: Drain::default(),
            stats: Stats::default(),
            stale: AtomicBool::new(true),
            burn,
        }
    }

    /// Returns true if the view is stale, so that requests must not be routed by it.
    pub fn is_stale(&self) -> bool {
        self.stale.load(Ordering::Relaxed)
    }
}

/// The state of one traffic thread.
#[derive(Debug)]
pub struct Worker {
    /// State shared with the other threads.
    pub shared: Arc<Shared>,
    /// Timers of this thread.
    pub timers: Timers,
    callers: RefCell<HashMap<u64, Rc<CallerState>>>,
    max_callers: usize,
}

/// The state of a caller's connection that the graceful shutdown needs.
#[derive(Debug)]
pub struct CallerState {
    stream: TcpStream,
    idle: Cell<bool>,
    current_request: RefCell<Option<(ServiceId, Instant)>>,
}

impl CallerState {
    /// Sets whether the connection is waiting for a request.
    pub fn set_idle(&self, idle: bool) {
        self.idle.set(idle);
    }

    /// Sets the service and start time of the current request, or `None` between requests.
    pub fn set_current_request(&self, request: Option<(ServiceId, Instant)>) {
        *self.current_request.borrow_mut() = request;
    }
}

/// Serves at most `max_callers` connections at a time, until the graceful shutdown is complete.
pub fn run(listener: StdListener, shared: Arc<Shared>, max_callers: usize) {
    let worker = Rc::new(Worker {
        shared,
        timers: Timers::default(),
        callers: RefCell::default(),
        max_callers,
    });
    task::block_on(worker.run(TcpListener::from(listener)));
}

impl Worker {
    async fn run(self: &Rc<Self>, listener: TcpListener) {
        let mut accepting = Some(task::spawn_local(self.clone().accept(listener)));
        let mut last_sweep = Instant::now();
        loop {
            task::sleep(RESOLUTION).await;
            let now = Instant::now();
            self.timers.wake_expired(now);
            if now - last_sweep >= POOL_SWEEP_PERIOD {
                self.shared.pool.close_expired(now);
                last_sweep = now;
            }
            let stage = self.shared.drain.stage();
            if stage < Stage::Closing {
                continue;
            }
            if let Some(accepting) = accepting.take() {
                accepting.cancel().await;
            }
            self.close_idle();
            if stage == Stage::Aborting {
                self.log_aborted_requests(now);
            }
            if stage == Stage::Aborting || self.callers.borrow().is_empty() {
                return;
            }
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut next_id = 0;
        loop {
            if self.callers.borrow().len() >= self.max_callers {
                task::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.spawn(next_id, stream),
                // Usually no file descriptor is free: wait until connections are closed.
                Err(_) => task::sleep(ACCEPT_RETRY_DELAY).await,
            }
            next_id += 1;
        }
    }

    fn spawn(self: &Rc<Self>, id: u64, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let state = Rc::new(CallerState {
            stream: stream.clone(),
            idle: Cell::new(true),
            current_request: RefCell::default(),
        });
        self.callers.borrow_mut().insert(id, state.clone());
        let worker = self.clone();
        task::spawn_local(async move {
            let served = serve::serve(&worker, &state, stream);
            // A panic in one request must not stop the thread, which serves other callers too.
            if AssertUnwindSafe(served).catch_unwind().await.is_err() {
                record(
                    Event::RequestFailed,
                    format_args!("handler panicked; its connection is closed"),
                );
            }
            worker.callers.borrow_mut().remove(&id);
        });
    }

    fn close_idle(&self) {
        let callers = self.callers.borrow();
        let idle = callers.values().filter(|caller| caller.idle.get());
        idle.for_each(|caller| drop(caller.stream.shutdown(Shutdown::Both)));
    }

    fn log_aborted_requests(&self, now: Instant) {
        for caller in self.callers.borrow().values() {
            if let Some((service, since)) = &*caller.current_request.borrow() {
                let ran = now.saturating_duration_since(*since);
                record(
                    Event::WorkCut,
                    format_args!("request to service {service} aborted after {ran:?}"),
                );
            }
        }
    }
}
