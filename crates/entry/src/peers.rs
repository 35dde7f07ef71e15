//! Messages between entry VMs, and what is concluded from them.

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

/// Time between two messages to the same entry VM.
const INTERVAL: Duration = Duration::from_millis(300);

/// Largest message, in bytes.
const MAX_BYTES: usize = 32 << 10;

/// Least requests a second that are told of a workspace.
const LEAST_TOLD: f64 = 0.05;

/// Returns how this entry VM is reached.
#[must_use]
pub fn announcement(settings: &Settings) -> Announcement {
    Announcement {
        zone: settings.zone.clone(),
        peer: SocketAddr::new(settings.ip, settings.peer_port),
        state: settings.listen.state,
        callers: settings.listen.callers,
    }
}

/// Creates an empty board.
#[must_use]
pub fn board(settings: &Settings) -> Membership {
    Membership::new(&settings.vm, announcement(settings), rank)
}

/// Returns the rank of a VM's name.
#[must_use]
pub fn rank(name: &str) -> u64 {
    hash(name.as_bytes())
}

/// Returns the number that stands for a name in messages.
#[must_use]
#[allow(clippy::cast_possible_truncation)]
pub fn number(name: &str) -> u32 {
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
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_BYTES];
    let mut last = Instant::now();
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                // A message that could not be sent is reported here; the next one follows soon.
                let Ok((length, _)) = received else { continue };
                match postcard::from_bytes::<Message>(&buffer[..length]) {
                    Ok(message) => state.board.borrow_mut().receive(message, Instant::now()),
                    Err(_) => state.metrics.note_bad_message(),
                }
            }
            _ = ticks.tick() => {
                let now = Instant::now();
                state.tick(now.duration_since(last).as_secs_f64(), now);
                last = now;
                tell(&state, &socket, now).await;
            }
        }
    }
}

async fn tell(state: &State, socket: &UdpSocket, now: Instant) {
    let report = report(state);
    let messages = state.board.borrow_mut().messages(report, now);
    for (target, message) in messages {
        let Ok(bytes) = postcard::to_stdvec(&message) else {
            state.metrics.note_bad_message();
            continue;
        };
        // A lost message is made good by the next one.
        let _ = socket.send_to(&bytes, target).await;
    }
}

/// Returns what is told about this entry VM.
fn report(state: &State) -> Report {
    Report {
        vms: vec![Member {
            vm: rank(&state.settings.vm),
            is_ready: state.is_ready() && state.settings.listen.callers.is_some(),
            revision: state.revision(),
        }],
        usages: asked(state),
        loads: loads(state),
        crashes: state.quarantine.crashes(),
    }
}

fn asked(state: &State) -> Vec<Usage> {
    let accounts = state.accounts.borrow();
    let asking = accounts
        .iter()
        .filter(|(_, account)| account.demand_per_s() > LEAST_TOLD);
    let asked = asking.map(|(workspace, account)| Usage {
        workspace: number(workspace),
        demand: short(account.demand_per_s()),
        admitted: short(account.admitted_per_s()),
    });
    asked.collect()
}

fn loads(state: &State) -> Vec<Load> {
    let busy = state.busy.borrow();
    let spills = state.spills.borrow();
    let load = |(service, busy): (&String, &f64)| {
        let spill = spills.get(service).copied().unwrap_or_default();
        Load {
            service: number(service),
            zone: number(&state.settings.zone),
            utilization: short(*busy),
            spill_zone: short(spill.zone),
            spill_region: short(spill.region),
        }
    };
    busy.iter().map(load).collect()
}

/// Returns `value` in the precision of a message.
#[allow(clippy::cast_possible_truncation)]
fn short(value: f64) -> f32 {
    value as f32
}
