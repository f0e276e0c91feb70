//! Starts the threads of an entry and shuts them down gracefully.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use thiserror::Error;

use crate::burn::Recorder;
use crate::events::Event;
use crate::events::record;
use crate::ids::BootId;
use crate::route::EntryRank;
use crate::route::RouterConfig;
use crate::settings::Settings;
use crate::traffic::admin;
use crate::traffic::control;
use crate::traffic::drain::Stage;
use crate::traffic::follow::Follower;
use crate::traffic::follow::Identity;
use crate::traffic::limits;
use crate::traffic::worker;
use crate::traffic::worker::Shared;

/// How long connections are still accepted after `/readyz` reports draining.
const UNREADY_PERIOD: Duration = Duration::from_secs(1);
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The reason why an entry can't start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// A listen address can't be bound.
    #[error("cannot listen on {address} ({error}); free the address or change [entry] {key}")]
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// Name of the setting in section `[entry]`.
        key: &'static str,
        /// The error from the operating system.
        error: io::Error,
    },
    /// A thread can't be started.
    #[error("cannot start a thread ({0}); raise the limits of the process")]
    Thread(#[from] io::Error),
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    shared: Arc<Shared>,
    workers: Vec<JoinHandle<()>>,
    drain_limit: Option<Duration>,
    address: SocketAddr,
    admin: SocketAddr,
}

impl Entry {
    /// Binds the listeners and starts all threads.
    pub fn start(settings: &Settings) -> Result<Self, EntryError> {
        let entry = &settings.entry;
        let bind = |address: SocketAddr, key| {
            let bound = TcpListener::bind(address);
            bound.map_err(|error| EntryError::Bind {
                address,
                key,
                error,
            })
        };
        let listener = bind(entry.listen, "listen")?;
        let admin = bind(entry.admin, "admin")?;
        let config = RouterConfig {
            vm: settings.vm.name.clone(),
            data_centre: settings.vm.data_centre.clone(),
            rank: EntryRank::default(),
            seed: rand::random(),
        };
        let burn = Recorder::new(settings, Instant::now());
        let shared = Arc::new(Shared::new(config, burn));
        let max_callers = limits::max_callers() / entry.threads.max(1);
        let mut workers = Vec::new();
        for index in 0..entry.threads.max(1) {
            let listener = listener.try_clone()?;
            let shared = shared.clone();
            let thread = thread::Builder::new().name(format!("traffic-{index}"));
            workers.push(thread.spawn(move || worker::run(listener, shared, max_callers))?);
        }
        let running = Self {
            workers,
            drain_limit: entry.drain_limit,
            address: listener.local_addr()?,
            admin: admin.local_addr()?,
            shared: shared.clone(),
        };
        spawn_control(settings, admin, shared)?;
        record(Event::Started, format_args!("entry on {}", running.address));
        Ok(running)
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the admin endpoints.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Returns the state that all threads share.
    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Shuts down gracefully: stops accepting connections, waits for the requests in flight, aborts
    /// them at the drain limit (if one is set), then returns.
    pub fn drain(self) {
        let drain = &self.shared.drain;
        record(
            Event::Draining,
            format_args!("{} in flight", drain.in_flight()),
        );
        let started = Instant::now();
        drain.advance(Stage::Unready);
        thread::sleep(UNREADY_PERIOD.min(self.drain_limit.unwrap_or(UNREADY_PERIOD)));
        drain.advance(Stage::Closing);
        while !self.workers.iter().all(JoinHandle::is_finished) {
            let expired = |limit| started.elapsed() >= limit;
            if self.drain_limit.is_some_and(expired) {
                drain.advance(Stage::Aborting);
            }
            thread::sleep(JOIN_POLL_INTERVAL);
        }
        drain.advance(Stage::Aborting);
        record(Event::Stopped, format_args!("entry"));
    }
}

fn spawn_control(
    settings: &Settings,
    admin: TcpListener,
    shared: Arc<Shared>,
) -> Result<(), io::Error> {
    let identity = Identity {
        vm: settings.vm.name.clone(),
        boot: BootId(rand::random()),
        data_centre: settings.vm.data_centre.clone(),
    };
    let controllers = settings.entry.controllers.clone();
    let limit = settings.entry.stale_limit;
    let follower = Follower::new(identity, controllers, limit, Instant::now());
    let token = settings.token.clone();
    let thread = thread::Builder::new().name("control".into());
    thread.spawn(move || {
        let admin = admin::run(admin.into(), shared.clone());
        let follow = control::run(follower, token, shared);
        task::block_on(futures::future::join(admin, follow))
    })?;
    Ok(())
}
