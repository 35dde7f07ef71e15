//! A request that crashes each server that begins to run it, while servers are often full.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::config;
use crate::caller::{Caller, request};
use crate::record::Record;
use crate::server::{Server, full, well};
use crate::store::Store;
use crate::vm::{Place, Vm};
use crate::{Problem, Setting, Verdict};

/// Number of servers.
const SERVERS: u8 = 12;

/// Time until a crashed server is back.
const BACK_AFTER: Duration = Duration::from_secs(3);

/// The client sends the request again after this time.
const PAUSE: Duration = Duration::from_millis(700);

/// Number of times that the client sends it.
const TIMES: u32 = 40;

/// Crashes after which retries count, and the time until they do.
const CRASHES: usize = 3;
const CONTACT: Duration = Duration::from_secs(3);

/// Retries that are allowed then.
const MAX_RETRIES: usize = 3;

/// Share of the requests that find a server's queue full, in percent.
const FULL_PERCENT: u32 = 45;

/// Path of the request.
const POISON: &str = "/read/poison";

pub fn play(setting: &Setting) -> Result<Verdict, Problem> {
    let record = &setting.record;
    let store = Store::start(setting.ip(1), record)?;
    store.put("op/config", config(1, "k1"));
    let arrivals = Arc::new(AtomicU32::new(0));
    let has_trouble = setting.has_trouble;
    let start = |id: String, number: u8, record: &Record| {
        let arrivals = Arc::clone(&arrivals);
        Server::start(&id, setting.ip(number), record, move |request| {
            let is_poison = request.head.word(1) == POISON;
            // A fixed sequence without a pattern.
            let draw = arrivals
                .fetch_add(1, Ordering::Relaxed)
                .wrapping_mul(2_654_435_761)
                >> 16;
            let is_full = has_trouble && draw % 100 < FULL_PERCENT;
            if is_full {
                return full(request.attempt());
            }
            let mut reaction = well(request.attempt(), Duration::from_millis(20));
            reaction.crashes = is_poison;
            reaction
        })
    };
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = start(format!("i-{number}"), 30 + number, record)?;
        server.register(&store, "records", "north-a", 1, 0);
        servers.push((server, None));
    }
    let place = |name, zone, number| Place {
        name,
        zone,
        region: "north",
        ip: setting.ip(number),
        store: store.addr,
        seeds: vec![setting.ip(20), setting.ip(21)],
    };
    let vms = [
        Vm::start(&place("front-1", "north-a", 20), &setting.folder, record)?,
        Vm::start(&place("front-2", "north-b", 21), &setting.folder, record)?,
    ];
    if !vms.iter().all(|vm| vm.wait_ready(Duration::from_secs(15))) {
        return Err("the entry VMs are not ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let mut runs = Vec::new();
    let mut ended = Vec::new();
    for number in 0..TIMES {
        let vm = &vms[number as usize % vms.len()];
        let id = format!("p-{number}");
        let text = request("GET", POISON, &id, "poison", 2_000, "");
        let answer = Caller::connect(vm.caller_addr())?.call(&text, Duration::from_secs(3));
        record.note(format!("{}: {id}: {:?}", vm.name, answer.status()));
        let until = Instant::now() + PAUSE;
        while Instant::now() < until {
            thread::sleep(Duration::from_millis(10));
            restart(&mut servers, &mut ended, &store, record, &start)?;
        }
    }
    for (server, _) in servers.iter().chain(&ended) {
        runs.extend(
            server
                .runs()
                .into_iter()
                .filter(|run| run.attempt.starts_with("p-"))
                .map(|run| run.at),
        );
    }
    runs.sort_unstable();
    let third = runs.get(CRASHES - 1).copied();
    let late = runs
        .iter()
        .filter(|at| third.is_some_and(|third| **at > third + CONTACT))
        .count();
    record.note(format!(
        "the request was sent {TIMES} times and crashed {} servers; {late} of them later than {CONTACT:?} after the third crash, {MAX_RETRIES} are allowed",
        runs.len()
    ));
    if runs.len() < CRASHES {
        return Err("the request crashed fewer than three servers".into());
    }
    Ok(if late > MAX_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

type Slot = (Server, Option<Instant>);

/// Starts crashed servers again, as new incarnations.
fn restart(
    servers: &mut [Slot],
    ended: &mut Vec<Slot>,
    store: &Store,
    record: &Record,
    start: &impl Fn(String, u8, &Record) -> std::io::Result<Server>,
) -> Result<(), Problem> {
    for (number, slot) in servers.iter_mut().enumerate() {
        let (server, crashed_at) = slot;
        if !server.has_crashed() {
            continue;
        }
        let at = *crashed_at.get_or_insert_with(Instant::now);
        if at.elapsed() < BACK_AFTER {
            continue;
        }
        store.remove(&format!("servers/{}", server.id));
        let id = format!("{}x", server.id);
        let next = start(id, 30 + u8::try_from(number)?, record)?;
        next.register(store, "records", "north-a", 1, 0);
        ended.push(std::mem::replace(slot, (next, None)));
    }
    Ok(())
}
