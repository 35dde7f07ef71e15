//! Exchange of messages with the other entry VMs.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::Membership;
use fleet::report::{Announcement, Load, Member, Message, Report, Usage};
use steer::placement::hash;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use crate::settings::Settings;
use crate::state::State;

/// Interval at which a message is sent to each entry VM.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(300);

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

/// Exchanges messages with the other entry VMs.
///
/// # Errors
///
/// Fails if the port cannot be bound.
pub async fn run(state: Rc<State>) -> io::Result<()> {
    let own = announcement(&state.settings).peer;
    let socket = UdpSocket::bind(own).await?;
    let mut ticks = interval(MESSAGE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_BYTES];
    let mut last = Instant::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // The socket returns the error of an earlier send here. The next message follows
                // soon.
                let Ok((length, _)) = received else { continue };
                match postcard::from_bytes::<Message>(&buffer[..length]) {
                    Ok(message) => state.membership.borrow_mut().receive(message, Instant::now()),
                    Err(_) => state.metrics.note_bad_message(),
                }
            }
            _ = ticks.tick() => {
                let now = Instant::now();
                state.tick(now.duration_since(last).as_secs_f64(), now);
                last = now;
                send_reports(&state, &socket, now).await;
            }
        }
    }
}

async fn send_reports(state: &State, socket: &UdpSocket, now: Instant) {
    let report = report(state);
    let messages = state.membership.borrow_mut().messages(report, now);
    for (target, message) in messages {
        let Ok(bytes) = postcard::to_stdvec(&message) else {
            state.metrics.note_bad_message();
            continue;
        };
        // Messages are not resent: the next one replaces a lost one.
        let _ = socket.send_to(&bytes, target).await;
    }
}

/// Returns the report about this entry VM.
fn report(state: &State) -> Report {
    Report {
        vms: vec![Member {
            vm: rank(&state.settings.vm),
            is_ready: state.is_ready() && state.settings.listen.callers.is_some(),
            revision: state.revision(),
        }],
        usages: usages(state),
        loads: loads(state),
        crashes: state.quarantine.crashes(),
    }
}

fn usages(state: &State) -> Vec<Usage> {
    let limiters = state.limiters.borrow();
    let active = limiters
        .iter()
        .filter(|(_, limiter)| limiter.demand_per_s() > MIN_REPORTED_PER_S);
    let usages = active.map(|(workspace, limiter)| Usage {
        workspace: short_hash(workspace),
        demand: to_f32(limiter.demand_per_s()),
        admitted: to_f32(limiter.admitted_per_s()),
    });
    usages.collect()
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
