//! A backend server that becomes cold again before its warm-up has ended.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::config;
use crate::caller::{Caller, request};
use crate::server::{Server, well};
use crate::store::Store;
use crate::vm::{Place, Vm};
use crate::{Problem, Setting, Verdict};

/// Time for which a server is cold after its start, as the configuration says.
const WARMUP: Duration = Duration::from_secs(3);

/// Time after its start at which the server becomes cold again.
const AGAIN_AFTER: Duration = Duration::from_millis(2_000);

/// Interval of its heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Requests in one second that a cold server may get: `warmup_per_s` x `warmup_overage` + `warmup_slack`.
const MAX_IN_A_SECOND: usize = 32;

/// Requests in one second at which the cold server crashes: well above `warmup_per_s`, which is 18.
const CRASHES_AT: usize = 72;

/// Clients of each VM, and their pause between two requests.
const CLIENTS: usize = 10;
const PAUSE: Duration = Duration::from_millis(50);

pub fn play(setting: &Setting) -> Result<Verdict, Problem> {
    let record = &setting.record;
    let store = Store::start(setting.ip(1), record)?;
    store.put("op/config", config(1, "k1"));
    let work = Duration::from_millis(100);
    let warm = Server::start("i-warm", setting.ip(10), record, move |request| {
        well(request.attempt(), work)
    })?;
    warm.register(&store, "records", "north-a", 1, 0);
    let place = |name, number| Place {
        name,
        zone: "north-a",
        region: "north",
        ip: setting.ip(number),
        store: store.addr,
        seeds: vec![setting.ip(20), setting.ip(21)],
    };
    let vms = [("front-1", 20), ("front-2", 21), ("front-3", 22)]
        .map(|(name, number)| Vm::start(&place(name, number), &setting.folder, record));
    let vms: Vec<Vm> = vms.into_iter().collect::<Result<_, _>>()?;
    if !vms.iter().all(|vm| vm.wait_ready(Duration::from_secs(15))) {
        return Err("the entry VMs are not ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let ended = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for vm in &vms {
        for client in 0..CLIENTS {
            let (addr, name) = (vm.caller_addr(), vm.name.clone());
            let (ended, answers) = (Arc::clone(&ended), Arc::clone(&answers));
            clients.push(thread::spawn(move || {
                let mut caller = None;
                let mut number = 0;
                while !ended.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("{name}-{client}-{number}");
                    let open = caller.take().or_else(|| Caller::connect(addr).ok());
                    let Some(mut open) = open else { continue };
                    let text = request("POST", &format!("/pay/{id}"), &id, &id, 2_000, "pay");
                    let answer = open.call(&text, Duration::from_secs(3));
                    if answer.status().is_some() {
                        caller = Some(open);
                    }
                    answers
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push((id, answer));
                    thread::sleep(PAUSE);
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(2));
    // A new server joins, as in a scale-out.
    let born = Instant::now();
    let mut cold_until = born + WARMUP;
    let cold_end = Arc::new(Mutex::new(cold_until));
    let cold = {
        let cold_end = Arc::clone(&cold_end);
        let latest = Mutex::new(VecDeque::new());
        Server::start("i-cold", setting.ip(11), record, move |request| {
            let now = Instant::now();
            let mut latest = latest.lock().unwrap_or_else(PoisonError::into_inner);
            latest.push_back(now);
            while latest
                .front()
                .is_some_and(|first| now - *first >= Duration::from_secs(1))
            {
                latest.pop_front();
            }
            let is_cold = now < *cold_end.lock().unwrap_or_else(PoisonError::into_inner);
            let mut reaction = well(request.attempt(), work);
            reaction.crashes = is_cold && latest.len() >= CRASHES_AT;
            reaction
        })?
    };
    let mut sequence = 0;
    let mut is_cold_again = false;
    let mut next_beat = born;
    while Instant::now() < cold_until + HEARTBEAT && !cold.has_crashed() {
        let now = Instant::now();
        let becomes_cold = setting.has_trouble && !is_cold_again && now >= born + AGAIN_AFTER;
        if becomes_cold {
            is_cold_again = true;
            cold_until = now + WARMUP;
            *cold_end.lock().unwrap_or_else(PoisonError::into_inner) = cold_until;
            record.note("server i-cold: is cold again for 3 s");
        }
        if becomes_cold || now >= next_beat {
            next_beat = now + HEARTBEAT;
            sequence += 1;
            let left = cold_until.saturating_duration_since(now).as_millis();
            let left = u64::try_from(left)?;
            record.note(format!(
                "server i-cold: heartbeat {sequence}, warmup_left {left} ms"
            ));
            cold.register(&store, "records", "north-a", sequence, left);
        }
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_secs(1));
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let runs = cold.runs();
    let mut times: Vec<Instant> = runs.iter().map(|run| run.at).collect();
    times.retain(|at| *at < cold_until);
    times.sort_unstable();
    let in_second = |first: &Instant| {
        let last = *first + Duration::from_secs(1);
        times
            .iter()
            .filter(|at| **at >= *first && **at < last)
            .count()
    };
    let most = times.iter().map(in_second).max().unwrap_or(0);
    for second in 0..=cold_until.duration_since(born).as_secs() {
        let from = born + Duration::from_secs(second);
        record.note(format!(
            "server i-cold: {} requests in second {second} of its life",
            in_second(&from)
        ));
    }
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let lost = answers.iter().filter(|(id, answer)| {
        answer.status() != Some(200) && runs.iter().any(|run| run.attempt == *id)
    });
    record.note(format!(
        "of {} payments, {} ran at i-cold and got no answer of it",
        answers.len(),
        lost.count()
    ));
    record.note(format!(
        "while it was cold, i-cold got up to {most} requests in one second; {MAX_IN_A_SECOND} are allowed; it crashed: {}",
        cold.has_crashed()
    ));
    if warm.runs().is_empty() || runs.is_empty() {
        return Err("a server ran no request".into());
    }
    Ok(if most > MAX_IN_A_SECOND {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
