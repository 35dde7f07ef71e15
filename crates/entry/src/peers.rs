//! Exchange of messages with the other entry VMs.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::Membership;
use fleet::report::{Announced, Announcement, Datagram, Introduction, Load, Member, Report, Usage};
use steer::placement::hash;
use steer::quota::Limiter;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::settings::Settings;
use crate::state::State;

/// Interval at which a message is sent to each entry VM.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which a VM that has just started asks the seeds.
const HELLO_INTERVAL: Duration = Duration::from_millis(100);

/// Largest message, in bytes.
const MAX_BYTES: usize = 32 << 10;

/// Requests a second of a workspace below which its usage is not reported.
const MIN_REPORTED_PER_S: f64 = 0.05;

/// Returns the announcement of this entry VM, with its addresses.
#[must_use]
pub fn announcement(settings: &Settings) -> Announcement {
    Announcement {
        zone: settings.zone.clone(),
        peer: SocketAddr::new(settings.ip, settings.peer_port),
        state: settings.listen.state,
        callers: settings.listen.callers,
        capacity: settings.capacity,
    }
}

/// Creates a membership with no other entry VMs.
#[must_use]
pub fn membership(settings: &Settings) -> Membership {
    Membership::new(&settings.vm, announcement(settings), rank)
}

/// Returns the rank of a VM's name.
#[must_use]
pub fn rank(name: &str) -> u64 {
    hash(name.as_bytes())
}

/// Returns the hash that identifies a name in messages.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn short_hash(name: &str) -> u32 {
    hash(name.as_bytes()) as u32
}

/// Binds the socket for messages between entry VMs.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub async fn bind(state: &State) -> io::Result<()> {
    let own = announcement(&state.settings).peer;
    let bound = UdpSocket::bind(own).await?;
    state.peer_socket.get_or_init(|| bound);
    Ok(())
}

/// Exchanges messages with the other entry VMs, once the socket is bound.
pub async fn run(state: Rc<State>) {
    let Some(socket) = state.peer_socket.get() else {
        return;
    };
    let mut ticks = interval(MESSAGE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_BYTES];
    let mut last = Instant::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // The socket returns the error of an earlier send here. The next message follows
                // soon.
                let Ok((length, from)) = received else { continue };
                receive(&state, &buffer[..length], from).await;
            }
            _ = ticks.tick() => {
                let now = Instant::now();
                let delay = now.duration_since(last).saturating_sub(MESSAGE_INTERVAL);
                state.metrics.note_tick_delay(delay);
                state.tick(now.duration_since(last).as_secs_f64(), now);
                last = now;
                send_reports(&state, now).await;
            }
        }
    }
}

async fn receive(state: &State, bytes: &[u8], from: SocketAddr) {
    match postcard::from_bytes::<Datagram>(bytes) {
        Ok(Datagram::Report(message)) => {
            let mut membership = state.membership.borrow_mut();
            membership.receive(message, Instant::now());
        }
        Ok(Datagram::Ask(ask)) => state.answer_ask(ask, from).await,
        Ok(Datagram::Answer(answer)) => state.asks.note_answer(answer),
        Ok(Datagram::Hello(newcomer)) => {
            let vms = state
                .membership
                .borrow_mut()
                .introduce(newcomer, Instant::now());
            let introduction = Introduction {
                is_settled: state.read_at().is_some(),
                vms,
            };
            send(state, from, &Datagram::Introduction(introduction)).await;
        }
        Ok(Datagram::Introduction(introduction)) => {
            state
                .is_introduced
                .set(introduction.is_settled || state.is_introduced.get());
            let mut membership = state.membership.borrow_mut();
            membership.note_introduced(introduction.vms, Instant::now());
        }
        Ok(Datagram::Load(report)) => state.note_load_report(&report, Instant::now()),
        Ok(Datagram::ReachQuery(query)) => state.answer_reach(query, from).await,
        Ok(Datagram::ReachAnswer(answer)) => state.note_reach_answer(answer),
        Err(_) => state.metrics.note_bad_message(),
    }
}

async fn send_reports(state: &State, now: Instant) {
    let report = report(state);
    let messages = state.membership.borrow_mut().messages(report, now);
    for (target, message) in messages {
        send(state, target, &Datagram::Report(message)).await;
    }
}

/// Asks the seeds which VMs this VM's zone has, until this VM knows the state of the store. Messages of
/// all VMs arrive at the same port.
pub async fn ask_seeds(state: Rc<State>) {
    let settings = &state.settings;
    let hello = Datagram::Hello(Announced {
        vm: settings.vm.clone(),
        announcement: announcement(settings),
    });
    let others = settings
        .seeds
        .iter()
        .filter(|seed| seed.ip() != settings.ip);
    let targets: Vec<SocketAddr> = others
        .map(|seed| SocketAddr::new(seed.ip(), settings.peer_port))
        .collect();
    while state.read_at().is_none() {
        for target in &targets {
            send(&state, *target, &hello).await;
        }
        sleep(HELLO_INTERVAL).await;
    }
}

/// Sends a datagram to the entry VM at `target`. Datagrams are not resent: the next report replaces a
/// lost one, and a question without an answer goes to the next VM.
pub async fn send(state: &State, target: SocketAddr, datagram: &Datagram) {
    let Some(socket) = state.peer_socket.get() else {
        return;
    };
    state.metrics.note_message(datagram.kind());
    match postcard::to_stdvec(datagram) {
        // A datagram that cannot be sent counts as lost.
        Ok(bytes) => drop(socket.send_to(&bytes, target).await),
        Err(_) => state.metrics.note_bad_message(),
    }
}

/// Returns the report about this entry VM.
fn report(state: &State) -> Report {
    Report {
        vms: vec![Member {
            vm: rank(&state.settings.vm),
            is_ready: state.is_ready() && state.settings.listen.callers.is_some(),
            revision: state.position().to_number(),
        }],
        usages: usages(state),
        loads: loads(state),
        crashes: state.quarantine.crashes(),
        limits: state.reported_limits(Instant::now()),
    }
}

/// Returns the usage of the workspaces' rates. The demand is left out where no VM needs it.
fn usages(state: &State) -> Vec<Usage> {
    let limiters = state.limiters.borrow();
    let own = short_hash(&state.settings.vm);
    let usage = |(workspace, limiter): (&u32, &Limiter)| {
        let demand = limiter.demand_per_s();
        let is_shared = limiter.shares_by_demand() && demand > MIN_REPORTED_PER_S;
        let admitted = limiter.admitted_per_s();
        let granted = limiter.granted_per_s();
        (is_shared || admitted > 0.0 || granted > 0.0).then(|| Usage {
            workspace: *workspace,
            demand: to_f32(if is_shared { demand } else { 0.0 }),
            admitted: to_f32(admitted),
            granted: to_f32(granted),
            granted_by: (granted > 0.0).then_some(own),
        })
    };
    limiters.iter().filter_map(usage).collect()
}

fn loads(state: &State) -> Vec<Load> {
    let utilization = state.utilization.borrow();
    let spills = state.spills.borrow();
    let load = |(service, utilization): (&String, &f64)| {
        let spill = spills.get(service).copied().unwrap_or_default();
        Load {
            service: short_hash(service),
            zone: short_hash(&state.settings.zone),
            utilization: to_f32(*utilization),
            spill_zone: to_f32(spill.zone),
            spill_region: to_f32(spill.region),
        }
    };
    utilization.iter().map(load).collect()
}

/// Converts `value` to the precision used in messages.
#[allow(clippy::cast_possible_truncation)]
fn to_f32(value: f64) -> f32 {
    value as f32
}
