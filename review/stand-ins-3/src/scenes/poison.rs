//! Requests that crash each server that begins to run them, and come again.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle, sleep};
use std::time::Duration;

use super::config;
use crate::client::{Call, Client};
use crate::server::{Act, Ending, Request, Run, Server};
use crate::vm::Vm;
use crate::{Stage, Verdict};

/// The bound `contact` of the settings.
const CONTACT: Duration = Duration::from_secs(3);

/// Most retries of a request that may reach servers later than [`CONTACT`] after it crashed the third.
const MAX_RETRIES: usize = 3;

/// Number of backend servers, as many as the smallest service of the small deployments has.
const SERVERS: u8 = 12;

const SLOTS: usize = 6;

/// How long an ordinary request works.
const WORK: Duration = Duration::from_millis(500);

const POISON: &str = "/pay/poison-";

/// Pause between two attempts of a poison request.
const POISON_PAUSE: Duration = Duration::from_secs(2);

/// Share of the requests that a grey server rejects, and how long it is grey.
const GREY_SHARE: f64 = 0.55;
const GREY_FOR: Duration = Duration::from_millis(8_500);

/// Pause between two times in which the servers are grey.
const GREY_GAP: Duration = Duration::from_millis(500);

/// A scene at work: clients that send until it ends.
struct Traffic {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    answers: Arc<Mutex<Vec<Answer>>>,
}

/// What a client got.
#[derive(Debug, Clone)]
struct Answer {
    attempt: String,
    /// 0 if there was none.
    status: u16,
}

impl Traffic {
    fn new() -> Self {
        Self {
            is_over: Arc::default(),
            threads: Vec::new(),
            answers: Arc::default(),
        }
    }

    /// Sends ordinary requests to `vms` by `count` clients that keep their connections.
    fn add_clients(&mut self, stage: &Stage, vms: &[SocketAddr], count: usize) {
        for number in 0..count {
            let mut client = Client::new(vms[number % vms.len()]);
            let record = Arc::clone(&stage.record);
            let is_over = Arc::clone(&self.is_over);
            let answers = Arc::clone(&self.answers);
            self.threads.push(thread::spawn(move || {
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
                    if status != 200 && status != 503 {
                        record.note(format!("ordinary request {attempt} is answered {status}"));
                    }
                    let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
                    answers.push(Answer { attempt, status });
                    drop(answers);
                    sleep(Duration::from_millis(50));
                }
            }));
        }
    }

    /// Sends the poison `number` to the VM at `addr` again and again from `first` on, with a pause of
    /// [`POISON_PAUSE`] between two attempts. The client keeps its connection.
    fn add_poison(&mut self, stage: &Stage, number: usize, addr: SocketAddr, first: Duration) {
        let record = Arc::clone(&stage.record);
        let is_over = Arc::clone(&self.is_over);
        self.threads.push(thread::spawn(move || {
            sleep(first);
            let path = format!("{POISON}{number}");
            let mut client = Client::new(addr);
            for turn in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let attempt = format!("p{number}-{turn}");
                record.note(format!("poison {number}: {attempt} is sent to {addr}"));
                let answer = client.call(&Call {
                    method: "POST",
                    path: &path,
                    attempt: &attempt,
                    body: b"poison",
                });
                let answer = match answer {
                    Ok(head) => head.status().to_string(),
                    Err(error) => error.to_string(),
                };
                record.note(format!("poison {number}: {attempt} gets {answer}"));
                sleep(POISON_PAUSE);
            }
        }));
    }

    fn end(self) -> Vec<Answer> {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        let answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        answers.clone()
    }
}

fn start_servers(
    stage: &Stage,
    script: impl Fn(&Request) -> Act + Send + Sync + 'static,
) -> io::Result<Vec<Arc<Server>>> {
    let script: Arc<dyn Fn(&Request) -> Act + Send + Sync> = Arc::new(script);
    let start = |number: u8| {
        let zone = if number % 2 == 0 { "a" } else { "b" };
        let id = format!("i-{number:08x}");
        let ip = stage.ip(100 + number).into();
        let Stage {
            store,
            record,
            runs,
            ..
        } = stage;
        Server::start(
            &id,
            ip,
            zone,
            SLOTS,
            store,
            record,
            runs,
            Arc::clone(&script),
        )
    };
    (0..SERVERS).map(start).collect()
}

fn act(request: &Request) -> Act {
    if request.path.starts_with(POISON) {
        Act::Crash
    } else {
        Act::Run(WORK)
    }
}

/// Plays the case: the servers shed a part of their requests while poison requests come again.
pub fn play(stage: &mut Stage) -> io::Result<Verdict> {
    const POISONS: usize = 6;
    const LENGTH: Duration = Duration::from_secs(96);
    stage.store.put("op/config", &config(1, 1 << 20));
    let (record, random) = (Arc::clone(&stage.record), Arc::clone(&stage.random));
    let has_trouble = stage.has_trouble;
    let _servers = start_servers(stage, move |request| {
        let in_cycle = record.elapsed().as_secs_f64() % (GREY_FOR + GREY_GAP).as_secs_f64();
        let is_grey = has_trouble && in_cycle < GREY_FOR.as_secs_f64();
        if is_grey && random.unit() < GREY_SHARE {
            return Act::Shed;
        }
        act(request)
    })?;
    let vms = stage.start_vms(&["a", "b"])?;
    let addrs: Vec<SocketAddr> = vms.iter().map(Vm::addr).collect();
    let mut traffic = Traffic::new();
    traffic.add_clients(stage, &addrs, 16);
    for number in 0..POISONS {
        let first = Duration::from_secs(2 + 4 * number as u64);
        let addr = addrs[stage.random.below(addrs.len())];
        traffic.add_poison(stage, number, addr, first);
    }
    sleep(LENGTH.saturating_sub(stage.record.elapsed()));
    finish(stage, vms, traffic, POISONS)
}

fn finish(
    stage: &Stage,
    mut vms: Vec<Vm>,
    traffic: Traffic,
    poisons: usize,
) -> io::Result<Verdict> {
    let answers = traffic.end();
    for vm in &mut vms {
        if vm.has_ended() {
            return Err(io::Error::other(format!("{} has ended", vm.name)));
        }
    }
    drop(vms);
    let runs = stage.runs.all();
    for run in &runs {
        if matches!(run.ending, Ending::Crashed | Ending::LostWithServer) {
            let Run {
                attempt,
                server,
                at,
                ending,
                ..
            } = run;
            let at = at.as_secs_f64();
            stage.record.note(format!(
                "run of {attempt} at {server} from {at:.3} s: {ending:?}"
            ));
        }
    }
    let mut verdict = Verdict::Held;
    for number in 0..poisons {
        if is_broken(stage, &runs, number) {
            verdict = Verdict::Broken;
        }
    }
    let lost = runs
        .iter()
        .filter(|run| run.ending == Ending::LostWithServer);
    let lost: Vec<&str> = lost.map(|run| run.attempt.as_str()).collect();
    let unanswered = answers
        .iter()
        .filter(|answer| lost.contains(&answer.attempt.as_str()));
    let unanswered = unanswered.filter(|answer| answer.status != 200).count();
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    let rejected = answers.iter().filter(|answer| answer.status == 503).count();
    stage.record.tell(format!(
        "ordinary requests: {} sent, {served} served, {rejected} answered 503, {unanswered} at work in a server that a poison request crashed and not served",
        answers.len()
    ));
    Ok(verdict)
}

/// Returns whether the poison `number` reached servers in too many retries. Counted are the attempts of which a
/// server began to run the request.
fn is_broken(stage: &Stage, runs: &[Run], number: usize) -> bool {
    let path = format!("{POISON}{number}");
    let mut crashes: Vec<&Run> = runs.iter().filter(|run| run.path == path).collect();
    crashes.sort_by_key(|run| run.at);
    let Some(third) = crashes.get(2) else {
        let count = crashes.len();
        stage
            .record
            .tell(format!("poison {number}: {count} servers crashed"));
        return false;
    };
    let late = crashes.iter().filter(|run| run.at > third.at + CONTACT);
    let mut late: Vec<&str> = late.map(|run| run.attempt.as_str()).collect();
    late.dedup();
    stage.record.tell(format!(
        "poison {number}: {} servers crashed, the third at {:.3} s; {} retries reached servers later than 3 s after it, {MAX_RETRIES} are allowed",
        crashes.len(),
        third.at.as_secs_f64(),
        late.len()
    ));
    late.len() > MAX_RETRIES
}
