//! Start and shutdown of the daemon.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event::Event;
use eyre::WrapErr;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::accept::{self, Listener};
use crate::announce;
use crate::bulk;
use crate::caller::Role;
use crate::catch_up;
use crate::names::Names;
use crate::peers;
use crate::pressure;
use crate::relay::scout;
use crate::settings::Settings;
use crate::state::State;
use crate::store::Store;
use crate::supervise::keep_running;
use crate::sync;

/// Percentage of the grace period after which idle connections are closed.
const CLOSE_PERCENT: u32 = 70;

/// Time between the last response and the end of the grace period.
const END_MARGIN: Duration = Duration::from_millis(250);

/// Interval at which the number of requests in flight is checked during shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the settings are read again, since they may change without a signal.
const REREAD_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the daemon until it is stopped by a signal. `reread` reads the settings again.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub fn run<S: Store + 'static>(
    settings: Settings,
    names: Names,
    store: S,
    reread: impl Fn() -> eyre::Result<Settings>,
) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(settings, names, store, reread))
}

async fn serve<S: Store + 'static>(
    settings: Settings,
    names: Names,
    store: S,
    reread: impl Fn() -> eyre::Result<Settings>,
) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let listen = settings.listen.clone();
    event::emit(&Event::EntryStarted {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
    });
    let state = Rc::new(State::new(settings, names));
    start(&state, listen.callers, Role::Requests)?;
    let relayed = peers::announcement(&state.settings).peer;
    start(&state, Some(relayed), Role::Relayed)?;
    start(&state, listen.ready, Role::Ready)?;
    start(&state, listen.lookups, Role::Lookups)?;
    start(&state, listen.state, Role::State)?;
    if let Err(error) = start(&state, listen.metrics, Role::Metrics) {
        let error = format!("{error:#}");
        event::emit(&Event::MetricsNotServed { error });
    }
    let bound = peers::bind(&state).await;
    bound.wrap_err("cannot exchange messages with other entry VMs")?;
    start_tasks(&state, &store);
    let mut rereads = interval(REREAD_INTERVAL);
    rereads.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = reload.recv() => reload_settings(&state, reread(), true),
            _ = rereads.tick() => reload_settings(&state, reread(), false),
        }
    }
    // The grace period may have changed since the settings were last read.
    reload_settings(&state, reread(), false);
    stop(&state).await;
    Ok(())
}

/// Applies the bounds of settings that were read again. All other settings, such as addresses, stay
/// until the process restarts.
fn reload_settings(state: &State, read: eyre::Result<Settings>, is_requested: bool) {
    match read {
        Ok(settings) => {
            let changed = state.set_bounds(settings.bounds);
            if changed || is_requested {
                event::emit(&Event::SettingsRead { changed });
            }
        }
        Err(error) => event::emit(&Event::SettingsUnreadable {
            error: format!("{error:#}"),
        }),
    }
}

fn start(state: &Rc<State>, addr: Option<SocketAddr>, role: Role) -> eyre::Result<()> {
    let Some(addr) = addr else { return Ok(()) };
    let listener = Listener::bind(addr).wrap_err_with(|| format!("cannot listen on {addr}"))?;
    let listener = Rc::new(listener);
    keep_running(state, "accept", move |state| {
        accept::run(state, Rc::clone(&listener), role)
    });
    Ok(())
}

/// Starts the tasks that keep the state up to date and exchange it with other entry VMs.
fn start_tasks<S: Store + 'static>(state: &Rc<State>, store: &S) {
    keep_running(state, "catch-up", catch_up::run::<S>);
    let fetcher = store.new_client();
    keep_running(state, "bulk", move |state| {
        bulk::run(state, fetcher.new_client())
    });
    let reader = store.new_client();
    keep_running(state, "sync", move |state| {
        sync::run(state, reader.new_client())
    });
    let announcer = store.new_client();
    keep_running(state, "announce", move |state| {
        announce::run(state, announcer.new_client())
    });
    keep_running(state, "peers", peers::run);
    keep_running(state, "seeds", peers::ask_seeds);
    keep_running(state, "pressure", pressure::run);
    keep_running(state, "scout", scout::run);
}

/// Shuts down: directs callers to other entry VMs, completes the requests in flight, and returns
/// when the process may end.
async fn stop(state: &State) {
    let grace = state.bounds().grace;
    let ends_at = Instant::now() + grace.saturating_sub(END_MARGIN);
    event::emit(&Event::EntryLeaving {
        vm: state.settings.vm.clone(),
    });
    state.leave(ends_at);
    sleep(grace * CLOSE_PERCENT / 100).await;
    state.close();
    // Callers that saw their connection end need a moment to read the last response.
    sleep(POLL_INTERVAL).await;
    while state.has_callers() && Instant::now() < ends_at {
        sleep(POLL_INTERVAL).await;
    }
    event::emit(&Event::EntryStopped {
        vm: state.settings.vm.clone(),
        cut: state.in_flight(),
    });
    event::flush();
}
