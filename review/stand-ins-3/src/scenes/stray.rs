//! Servers that send a further answer after a complete one, on a connection that is used again.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, sleep};
use std::time::Duration;

use super::config;
use crate::client::{Call, Client};
use crate::server::{Act, Ending, Fault, Run, Server};
use crate::{Stage, Verdict};

const SERVERS: u8 = 10;

const CLIENTS: usize = 24;

/// Share of the servers that have the fault, and of their answers that are followed by a stray one.
const FAULTY_SHARE: f64 = 0.6;
const STRAY_SHARE: f64 = 0.03;

/// How long a request works.
const WORK: Duration = Duration::from_millis(150);

/// How long the servers have the fault.
const TROUBLE_FOR: Duration = Duration::from_secs(5);

/// The answer of a server that sheds, as the wire page shows it.
const SHED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Plays the case.
pub fn play(stage: &mut Stage) -> io::Result<Verdict> {
    stage.store.put("op/config", &config(1, 1 << 20));
    let is_trouble = Arc::new(AtomicBool::new(false));
    let start = |number: u8| {
        let random = Arc::clone(&stage.random);
        let is_trouble = Arc::clone(&is_trouble);
        let is_faulty = f64::from(number) < f64::from(SERVERS) * FAULTY_SHARE;
        let fault = Fault {
            sends_stray: Arc::new(move || {
                is_trouble.load(Ordering::Relaxed) && random.unit() < STRAY_SHARE
            }),
            stray: SHED,
            keeps_working: number % 2 == 1,
        };
        let zone = if number % 2 == 0 { "a" } else { "b" };
        let id = format!("i-{number:08x}");
        let ip = stage.ip(100 + number).into();
        let Stage {
            store,
            record,
            runs,
            ..
        } = &*stage;
        let script = Arc::new(|_: &_| Act::Run(WORK));
        let fault = Some(fault).filter(|_| is_faulty);
        Server::start_with(&id, ip, zone, 6, store, record, runs, script, fault)
    };
    let _servers: Vec<Arc<Server>> = (0..SERVERS).map(start).collect::<io::Result<_>>()?;
    let vms = stage.start_vms(&["a", "b"])?;
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<BTreeMap<String, u16>>> = Arc::default();
    let clients = (0..CLIENTS).map(|number| {
        let mut client = Client::new(vms[number % vms.len()].addr());
        let (is_over, answers) = (Arc::clone(&is_over), Arc::clone(&answers));
        thread::spawn(move || {
            for turn in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let attempt = format!("c{number}-{turn}");
                let answer = client.call(&Call {
                    method: "POST",
                    path: "/pay/order",
                    attempt: &attempt,
                    body: attempt.as_bytes(),
                });
                let status = answer.map_or(0, |head| head.status());
                let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
                answers.insert(attempt, status);
                drop(answers);
                sleep(Duration::from_millis(20));
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    sleep(Duration::from_secs(3));
    is_trouble.store(stage.has_trouble, Ordering::Relaxed);
    sleep(TROUBLE_FOR);
    is_trouble.store(false, Ordering::Relaxed);
    sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(vms);
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    Ok(judge(stage, &answers))
}

fn judge(stage: &Stage, answers: &BTreeMap<String, u16>) -> Verdict {
    let mut by_attempt: BTreeMap<String, Vec<Run>> = BTreeMap::new();
    for run in stage.runs.all() {
        by_attempt.entry(run.attempt.clone()).or_default().push(run);
    }
    let (mut twice, mut twice_whole, mut refused) = (0, 0, 0);
    for (attempt, runs) in &by_attempt {
        let status = answers.get(attempt).copied().unwrap_or_default();
        let whole = runs
            .iter()
            .filter(|run| run.ending == Ending::Answered)
            .count();
        let is_refused = matches!(status, 408 | 421 | 429 | 503);
        if runs.len() < 2 && !is_refused {
            continue;
        }
        twice += usize::from(runs.len() > 1);
        twice_whole += usize::from(whole > 1);
        refused += usize::from(is_refused);
        let runs = runs.iter().map(
            |Run {
                 server, at, ending, ..
             }| { format!("{server} from {:.3} s ({ending:?})", at.as_secs_f64()) },
        );
        let runs = runs.collect::<Vec<_>>().join(", ");
        stage
            .record
            .note(format!("{attempt} ran at {runs}; its client got {status}"));
    }
    stage.record.tell(format!(
        "{} requests that must not run twice: {twice} were begun by two servers, {twice_whole} run to the end by two; {refused} were answered as not run and had run",
        answers.len()
    ));
    if twice + refused > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
