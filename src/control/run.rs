//! Starts the threads and tasks of the controller and runs until it has stopped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use async_std::channel::Receiver;
use async_std::channel::Sender;
use async_std::channel::bounded;
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::control::ControlRequest;
use crate::control::Handle;
use crate::control::event::Event;
use crate::control::links::Links;
use crate::control::remote_calls::RemoteCalls;
use crate::control::thread::Control;
use crate::events;
use crate::events::record;
use crate::ids::BootId;
use crate::link::Hello;
use crate::link::Role;
use crate::operator;
use crate::operator::OperatorApi;
use crate::owner::message::Member;
use crate::platform::HttpPlatform;
use crate::settings::Settings;
use crate::state_sync::StateSync;
use crate::state_sync::StateSyncConf;
use crate::view::ViewDigest;

const MAX_QUEUED_EVENTS: usize = 4096;
const MAX_QUEUED_REQUESTS: usize = 64;
const TICK_INTERVAL: Duration = Duration::from_millis(25);
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
// Time for the links to send the messages that are still queued before the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Runs a controller until SIGTERM or SIGINT; hands over the control of its groups before it stops.
pub async fn run(conf: Settings) -> anyhow::Result<()> {
    let peer_listener = bind(conf.controller.peer, "peer").await?;
    let (events, queue) = bounded(MAX_QUEUED_EVENTS);
    let platform = Arc::new(HttpPlatform::new(&conf.platform));
    let operators = OperatorApi {
        platform: platform.clone(),
        handle: serve_requests(events.clone()),
        token: conf.token.clone(),
    };
    let admin = bind(conf.controller.admin, "admin").await?;
    println!(
        "peers on {}, admin on {}",
        peer_listener.local_addr()?,
        admin.local_addr()?
    );
    task::spawn(operator::run(admin, operators));
    watch_signals(events.clone())?;

    let control = control(&conf, events, platform, peer_listener);
    let vm = &conf.vm.name;
    record(events::Event::Started, format_args!("controller vm={vm}"));
    let thread = thread::Builder::new().name("control".into());
    let control_thread = thread.spawn(move || task::block_on(run_loop(control, queue)))?;
    task::spawn_blocking(move || control_thread.join())
        .await
        .ok();
    record(events::Event::Stopped, format_args!("controller vm={vm}"));
    Ok(())
}

async fn bind(address: SocketAddr, key: &str) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| {
        format!("cannot listen on {address}; check [controller] {key} and that the port is free")
    })
}

fn control(
    conf: &Settings,
    events: Sender<Event>,
    platform: Arc<HttpPlatform>,
    peer_listener: TcpListener,
) -> Control<HttpPlatform> {
    let me = Member {
        vm: conf.vm.name.clone(),
        boot: BootId(rand::random()),
        data_centre: conf.vm.data_centre.clone(),
    };
    let hello = Hello {
        vm: me.vm.clone(),
        boot: me.boot,
        data_centre: me.data_centre.clone(),
        role: Role::Controller,
        digest: ViewDigest::default(),
    };
    let links = Links::new(hello, &conf.token, events.clone());
    task::spawn(links.clone().accept_all(peer_listener));
    let sync_conf = StateSyncConf {
        vm: me.vm.clone(),
        boot: me.boot,
        data_centre: me.data_centre.clone(),
        stale_limit: conf.entry.stale_limit,
        seeds: seeds(conf),
    };
    let clock = Arc::new(SystemClock);
    let state_sync = StateSync::new(sync_conf, clock.now());
    Control::new(
        me,
        clock,
        state_sync,
        links,
        RemoteCalls::new(platform, events),
    )
}

// The entry's list of controllers also provides seed addresses, for when the platform's list of VMs
// cannot be read.
fn seeds(conf: &Settings) -> Vec<SocketAddr> {
    let controllers = conf.entry.controllers.iter().copied();
    controllers
        .filter(|address| *address != conf.controller.peer)
        .collect()
}

async fn run_loop(mut control: Control<HttpPlatform>, queue: Receiver<Event>) {
    let mut next_tick = Instant::now();
    let mut stop_by = None;
    loop {
        let wake = control
            .next_tick()
            .map_or(next_tick, |at| at.min(next_tick));
        let wait = wake.saturating_duration_since(Instant::now());
        if let Ok(Ok(event)) = timeout(wait, queue.recv()).await {
            if let Event::Stop = event {
                record(events::Event::Draining, format_args!("controller"));
                stop_by = Some(Instant::now() + HANDOVER_TIMEOUT);
            }
            control.handle(event);
        }
        if Instant::now() >= next_tick {
            next_tick = Instant::now() + TICK_INTERVAL;
            control.tick();
        } else {
            control.tick_groups();
        }
        let timed_out = stop_by.is_some_and(|at| Instant::now() >= at);
        if control.is_done() || timed_out {
            task::sleep(FLUSH_TIME).await;
            return;
        }
    }
}

// Requests have their own small queue, so that many of them cannot fill the queue of events.
fn serve_requests(events: Sender<Event>) -> Handle {
    let (requests, queue) = bounded::<ControlRequest>(MAX_QUEUED_REQUESTS);
    task::spawn(async move {
        while let Ok(request) = queue.recv().await {
            if events.send(Event::Request(request)).await.is_err() {
                return;
            }
        }
    });
    Handle::new(requests)
}

fn watch_signals(events: Sender<Event>) -> anyhow::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let watch = move || {
        for _ in signals.forever() {
            let _ = events.send_blocking(Event::Stop);
        }
    };
    thread::Builder::new().name("signals".into()).spawn(watch)?;
    Ok(())
}
