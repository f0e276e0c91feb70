//! One traffic thread: its callers' connections and timers.

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
use crate::traffic::timers::TICK;
use crate::traffic::timers::Timers;

const SWEEP_PERIOD: Duration = Duration::from_secs(1);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What all threads of an entry share.
#[derive(Debug)]
pub struct Shared {
    /// Chooses targets.
    pub router: Router,
    /// Where the entry runs.
    pub data_centre: DataCentre,
    /// Idle connections to targets.
    pub pool: Pool,
    /// The stage of the graceful shutdown.
    pub drain: Drain,
    /// Counts for operators.
    pub stats: Stats,
    /// Whether the view has gone unconfirmed for too long to be used.
    pub stale: AtomicBool,
    /// Counts for the burn report.
    pub burn: Recorder,
}

impl Shared {
    /// Starts without a view.
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

    /// Returns whether requests may be routed by the view at hand.
    pub fn is_stale(&self) -> bool {
        self.stale.load(Ordering::Relaxed)
    }
}

/// The state of one traffic thread.
#[derive(Debug)]
pub struct Worker {
    /// What all threads share.
    pub shared: Arc<Shared>,
    /// The thread's timers.
    pub timers: Timers,
    callers: RefCell<HashMap<u64, Rc<CallerState>>>,
    max_callers: usize,
}

/// What a thread knows of one caller's connection.
#[derive(Debug)]
pub struct CallerState {
    stream: TcpStream,
    idle: Cell<bool>,
    work: RefCell<Option<(ServiceId, Instant)>>,
}

impl CallerState {
    /// Records whether the connection waits for a request.
    pub fn set_idle(&self, idle: bool) {
        self.idle.set(idle);
    }

    /// Records what runs for the caller.
    pub fn set_work(&self, work: Option<(ServiceId, Instant)>) {
        *self.work.borrow_mut() = work;
    }
}

/// Serves at most `max_callers` at a time, until the graceful shutdown is complete.
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
        let mut swept = Instant::now();
        loop {
            task::sleep(TICK).await;
            let now = Instant::now();
            self.timers.fire(now);
            if now - swept >= SWEEP_PERIOD {
                self.shared.pool.sweep(now);
                swept = now;
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
                self.report_cut(now);
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
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.spawn(next_id, stream),
                // Out of file descriptors: wait for some to be given back.
                Err(_) => task::sleep(ACCEPT_PAUSE).await,
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
            work: RefCell::default(),
        });
        self.callers.borrow_mut().insert(id, state.clone());
        let worker = self.clone();
        task::spawn_local(async move {
            let served = serve::serve(&worker, &state, stream);
            // One faulty request must not end the thread that serves the others.
            if AssertUnwindSafe(served).catch_unwind().await.is_err() {
                record(
                    Event::RequestFailed,
                    format_args!("its connection is closed"),
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

    fn report_cut(&self, now: Instant) {
        for caller in self.callers.borrow().values() {
            if let Some((service, since)) = &*caller.work.borrow() {
                let ran = now.saturating_duration_since(*since);
                record(
                    Event::WorkCut,
                    format_args!("a request of {service} after {ran:?}"),
                );
            }
        }
    }
}
