//! Backend servers leave, and a heartbeat that the first of them sent before arrives at the store after its
//! report that it leaves: the zone's links lose packets.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::config;
use crate::caller::{Answer, Caller, request};
use crate::server::{Server, well};
use crate::store::Store;
use crate::vm::{Place, Vm};
use crate::{Problem, Setting, Verdict};

/// Interval of the heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Servers of each zone. Those of the zone `south-a` leave, one after the other.
const PER_ZONE: u8 = 4;
const PAUSE_BETWEEN: Duration = Duration::from_millis(700);

/// Time from the report that a server leaves until its late heartbeat arrives: the heartbeat was sent 100 ms
/// before the report, its packet was lost, and TCP sends it again after 200 ms.
const LATE_BY: Duration = Duration::from_millis(100);

/// Bound of the deployment: requests sent later than this after the acknowledgement must not arrive.
const DRAIN: Duration = Duration::from_secs(2);

/// Bound of the deployment: arrivals are not counted for this time after a link was harmed.
const CONTACT: Duration = Duration::from_secs(3);

/// Time for which a server serves on after its report.
const SERVES_ON: Duration = Duration::from_secs(10);

/// Clients of each VM, and their pause between two requests.
const CLIENTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(50);

/// A request that a client sent.
#[derive(Debug)]
struct Sent {
    id: String,
    vm: String,
    at: Instant,
    answer: Answer,
}

/// A server with its zone, and when it reported that it leaves.
#[derive(Debug)]
struct Member {
    server: Server,
    zone: &'static str,
    sequence: u64,
    acknowledged: Option<Instant>,
}

impl Member {
    /// Writes the next heartbeat.
    fn beat(&mut self, store: &Store) {
        self.sequence += 1;
        if self.acknowledged.is_some() {
            self.server
                .report_draining(store, "records", self.zone, self.sequence);
        } else {
            self.server
                .register(store, "records", self.zone, self.sequence, 0);
        }
    }
}

pub fn play(setting: &Setting) -> Result<Verdict, Problem> {
    let record = &setting.record;
    let store = Store::start(setting.ip(1), record)?;
    store.put("op/config", config(1, "k1"));
    let mut members = Vec::new();
    for (zone, first) in [("north-a", 30), ("north-b", 40), ("south-a", 50)] {
        for number in first..first + PER_ZONE {
            let server = Server::start(
                &format!("i-{zone}-{number}"),
                setting.ip(number),
                record,
                |request| well(request.attempt(), Duration::from_millis(100)),
            )?;
            members.push(Member {
                server,
                zone,
                sequence: 0,
                acknowledged: None,
            });
        }
    }
    members.iter_mut().for_each(|member| member.beat(&store));
    let place = |name, zone, number| Place {
        name,
        zone,
        region: "north",
        ip: setting.ip(number),
        store: store.addr,
        seeds: vec![setting.ip(20), setting.ip(21), setting.ip(22)],
    };
    let vms = [
        ("front-1", "north-a", 20),
        ("front-2", "north-a", 21),
        ("front-3", "north-b", 22),
        ("front-4", "north-b", 23),
    ]
    .map(|(name, zone, number)| Vm::start(&place(name, zone, number), &setting.folder, record));
    let vms: Vec<Vm> = vms.into_iter().collect::<Result<_, _>>()?;
    if !vms.iter().all(|vm| vm.wait_ready(Duration::from_secs(15))) {
        return Err("the entry VMs are not ready".into());
    }
    // The bounds count from a time without disruption.
    beat_for(&mut members, &store, Duration::from_millis(4_500));
    let ended = Arc::new(AtomicBool::new(false));
    let requests = Arc::new(Mutex::new(Vec::new()));
    let clients = start_clients(&vms, &ended, &requests);
    beat_for(&mut members, &store, Duration::from_secs(1));
    let leaving: Vec<usize> = (0..members.len())
        .filter(|index| members[*index].zone == "south-a")
        .collect();
    let mut harmed_until = Instant::now();
    for (number, index) in leaving.iter().enumerate() {
        let member = &mut members[*index];
        member.sequence += 1;
        let late = member.sequence;
        member.sequence += 1;
        member
            .server
            .report_draining(&store, "records", member.zone, member.sequence);
        member.acknowledged = Some(Instant::now());
        if setting.has_trouble && number == 0 {
            thread::sleep(LATE_BY);
            record.note(format!(
                "the heartbeat {late} of {}, sent before its report, arrives at the store",
                member.server.id
            ));
            member
                .server
                .register(&store, "records", member.zone, late, 0);
            harmed_until = Instant::now();
        }
        beat_for(&mut members, &store, PAUSE_BETWEEN);
    }
    beat_for(&mut members, &store, SERVES_ON);
    for index in &leaving {
        members[*index].server.end();
        store.remove(&format!("servers/{}", members[*index].server.id));
    }
    thread::sleep(Duration::from_secs(1));
    ended.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let requests = requests.lock().unwrap_or_else(PoisonError::into_inner);
    let mut late = 0;
    for member in leaving.iter().map(|index| &members[*index]) {
        let Some(acknowledged) = member.acknowledged else {
            continue;
        };
        let counted_from = (acknowledged + DRAIN).max(harmed_until + CONTACT);
        let runs: Vec<String> = member
            .server
            .runs()
            .into_iter()
            .map(|run| run.attempt)
            .collect();
        let of_server: Vec<&Sent> = requests
            .iter()
            .filter(|sent| sent.at > counted_from && runs.contains(&sent.id))
            .collect();
        let lost = of_server
            .iter()
            .filter(|sent| sent.answer.status() != Some(200))
            .count();
        let by: BTreeSet<&str> = of_server.iter().map(|sent| sent.vm.as_str()).collect();
        record.note(format!(
            "{}: {} requests too late, from {by:?}; {lost} of them ran there and were not answered with 200",
            member.server.id,
            of_server.len()
        ));
        late += of_server.len();
    }
    record.note(format!(
        "{late} of {} requests reached a leaving server too late",
        requests.len()
    ));
    let has_run = members
        .iter()
        .all(|member| !member.server.runs().is_empty());
    if !has_run {
        return Err("a server ran no request".into());
    }
    Ok(if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Lets all servers write their heartbeats, spread over the interval, for `time`.
fn beat_for(members: &mut [Member], store: &Store, time: Duration) {
    let until = Instant::now() + time;
    let step = HEARTBEAT / u32::try_from(members.len()).unwrap_or(1);
    for index in (0..members.len()).cycle() {
        if Instant::now() >= until {
            return;
        }
        members[index].beat(store);
        thread::sleep(step);
    }
}

/// Starts clients that send payments until `ended`.
fn start_clients(
    vms: &[Vm],
    ended: &Arc<AtomicBool>,
    requests: &Arc<Mutex<Vec<Sent>>>,
) -> Vec<thread::JoinHandle<()>> {
    let mut clients = Vec::new();
    for vm in vms {
        for client in 0..CLIENTS {
            let (addr, name) = (vm.caller_addr(), vm.name.clone());
            let (ended, requests) = (Arc::clone(ended), Arc::clone(requests));
            clients.push(thread::spawn(move || {
                let mut number = 0;
                while !ended.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("{name}-{client}-{number}");
                    let Ok(mut caller) = Caller::connect(addr) else {
                        continue;
                    };
                    let text = request("POST", &format!("/pay/{id}"), &id, &id, 2_000, "pay");
                    let at = Instant::now();
                    let answer = caller.call(&text, Duration::from_secs(3));
                    let sent = Sent {
                        id,
                        vm: name.clone(),
                        at,
                        answer,
                    };
                    requests
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push(sent);
                    thread::sleep(PAUSE);
                }
            }));
        }
    }
    clients
}
