//! Clients that send a second request before the first one is answered, at an entry VM that is stopped.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::config;
use crate::caller::{Answer, Caller, request};
use crate::server::{Server, well};
use crate::store::Store;
use crate::vm::{Place, Vm};
use crate::{Problem, Setting, Verdict};

/// Number of clients. Each sends a pair of requests.
const CLIENTS: usize = 20;

/// Time that the servers need for the first and for the second request of a pair.
const WORK: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(700)];

/// Time from the last request until SIGTERM.
const BEFORE_STOP: Duration = Duration::from_millis(150);

/// How long the clients wait.
const DEADLINE_MS: u64 = 3_000;

pub fn play(setting: &Setting) -> Result<Verdict, Problem> {
    let record = &setting.record;
    let store = Store::start(setting.ip(1), record)?;
    store.put("op/config", config(1, "k1"));
    let mut servers = Vec::new();
    for number in 0..4 {
        let id = format!("i-{number}");
        let server = Server::start(&id, setting.ip(10 + number), record, |request| {
            let is_second = request.attempt().ends_with("-2");
            well(request.attempt(), WORK[usize::from(is_second)])
        })?;
        server.register(&store, "records", "north-a", 1, 0);
        servers.push(server);
    }
    let place = |name, zone, number| Place {
        name,
        zone,
        region: "north",
        ip: setting.ip(number),
        store: store.addr,
        seeds: vec![setting.ip(20), setting.ip(21)],
    };
    let vm = Vm::start(&place("front-1", "north-a", 20), &setting.folder, record)?;
    let other = Vm::start(&place("front-2", "north-b", 21), &setting.folder, record)?;
    if !vm.wait_ready(Duration::from_secs(15)) || !other.wait_ready(Duration::from_secs(15)) {
        return Err("the entry VMs are not ready".into());
    }
    // The bounds count from a time without disruption.
    thread::sleep(Duration::from_secs(4));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let addr = vm.caller_addr();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (answers, record) = (Arc::clone(&answers), record.clone());
            thread::spawn(move || {
                let Ok(mut caller) = Caller::connect(addr) else {
                    return;
                };
                let ids = [1, 2].map(|number| format!("c{client}-{number}"));
                let pair: String = ids
                    .iter()
                    .map(|id| request("GET", &format!("/read/{id}"), id, id, DEADLINE_MS, ""))
                    .collect();
                let sent = caller.send(pair.as_bytes());
                record.note(format!(
                    "client {client}: sent {} and {}: {sent:?}",
                    ids[0], ids[1]
                ));
                let started = Instant::now();
                for id in ids {
                    let limit = Duration::from_millis(DEADLINE_MS + 1_000)
                        .saturating_sub(started.elapsed());
                    let answer = caller.answer(limit);
                    record.note(format!("client {client}: {id}: {answer:?}"));
                    let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
                    answers.push((id, answer));
                }
            })
        })
        .collect();
    thread::sleep(BEFORE_STOP);
    if setting.has_trouble {
        vm.signal("TERM");
    }
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    let runs: Vec<String> = servers
        .iter()
        .flat_map(|server| server.runs().into_iter().map(|run| run.attempt))
        .collect();
    let lost: Vec<&String> = answers
        .iter()
        .filter(|(id, answer)| matches!(answer, Answer::Ended(_)) && runs.contains(id))
        .map(|(id, _)| id)
        .collect();
    let served = answers
        .iter()
        .filter(|(_, answer)| answer.status() == Some(200))
        .count();
    record.note(format!(
        "of {} requests, {served} were answered with 200; {} ran at a server and their connection ended without an answer: {lost:?}",
        CLIENTS * 2,
        lost.len(),
    ));
    if answers.len() != CLIENTS * 2
        || (lost.is_empty() && served != CLIENTS * 2 && !setting.has_trouble)
    {
        return Err("not all requests were sent and answered".into());
    }
    Ok(if lost.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
