//! A request that crashes the servers that run it comes again after all entry VMs were restarted in turn.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http;
use crate::record::Record;
use crate::server::{DEADLY, Deaths, Server};
use crate::store::Store;
use crate::vm::{SIGTERM, Vm};

/// Bound `contact` of the settings.
const CONTACT: Duration = Duration::from_secs(3);

/// Retries that may reach servers after the third crash, by the rule.
const MAX_RETRIES: usize = 3;

/// Time after the first crashes at which the restarts begin.
const PAUSE: Duration = Duration::from_secs(32);

const SERVERS: usize = 12;
const VMS: usize = 4;
const CLIENTS: usize = 8;

/// Time that a server works on a request of the other clients.
const WORK: Duration = Duration::from_millis(250);

/// Longest time that a client waits.
const DEADLINE: Duration = Duration::from_secs(2);

/// Plays the case.
pub fn play(files: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let deaths = Deaths::default();
    for number in 0..SERVERS {
        let zone = ["a", "b"][number % 2];
        Server::start(number, zone, &store, record, WORK, &deaths);
    }
    thread::sleep(Duration::from_millis(200));
    let mut vms: Vec<Vm> = Vec::new();
    for number in 0..VMS {
        let name = format!("front-{number}");
        let seeds: Vec<_> = vms.first().map(Vm::ip).into_iter().collect();
        let zone = ["a", "b"][number % 2];
        vms.push(Vm::start(
            files.join(&name),
            &name,
            zone,
            &seeds,
            store.addr,
        ));
    }
    if !vms.iter().all(|vm| vm.wait_ready(Duration::from_secs(10))) {
        record.note("an entry VM did not become ready");
        return Verdict::NotRun;
    }
    thread::sleep(CONTACT + Duration::from_secs(1));
    let others = Others::start(&vms, record);
    let mut sent = 0;
    // It comes until it has crashed three servers.
    while deaths.lock().expect("deaths").len() < 3 && sent < 12 {
        send_deadly(&vms, sent % VMS, record, &mut sent);
    }
    thread::sleep(Duration::from_secs(1));
    let third = deaths.lock().expect("deaths").get(2).map(|(at, _)| *at);
    let Some(third) = third else {
        record.note("the request did not crash three servers");
        return Verdict::NotRun;
    };
    // While it is known, it runs no more.
    for vm in 0..VMS {
        send_deadly(&vms, vm, record, &mut sent);
    }
    thread::sleep(PAUSE);
    if has_trouble {
        for vm in &mut vms {
            record.note(&format!("SIGTERM to {}", vm.name()));
            vm.signal(SIGTERM);
            if !vm.wait_end(Duration::from_secs(7)) {
                record.note("it did not end in time");
                return Verdict::NotRun;
            }
            vm.start_process();
            if !vm.wait_ready(Duration::from_secs(10)) {
                record.note("it did not become ready again");
                return Verdict::NotRun;
            }
            record.note(&format!("{} is ready again", vm.name()));
        }
    }
    thread::sleep(CONTACT + Duration::from_secs(1));
    let again = Instant::now();
    let lost_before = others.lost();
    // It comes again, with three repeats at once.
    for vm in 0..VMS {
        send_deadly(&vms, vm, record, &mut sent);
    }
    thread::sleep(Duration::from_secs(3));
    let late = third + CONTACT.as_secs_f64();
    let deaths = deaths.lock().expect("deaths");
    let arrivals: Vec<&str> = deaths
        .iter()
        .filter(|(at, _)| *at > late)
        .map(|(_, attempt)| attempt.as_str())
        .collect();
    let retries = arrivals.iter().collect::<HashSet<_>>().len();
    let seconds = again.elapsed().as_secs_f64();
    record.note(&format!(
        "later than {CONTACT:?} after the third crash, {retries} retries reached servers, with {} arrivals; {MAX_RETRIES} retries are allowed",
        arrivals.len()
    ));
    let lost = others.lost() - lost_before;
    record.note(&format!(
        "in {seconds:.1} s, {lost} requests of other clients that must not run twice ended with 502"
    ));
    if retries > MAX_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn send_deadly(vms: &[Vm], vm: usize, record: &Record, sent: &mut usize) {
    *sent += 1;
    let attempt = format!("deadly-{sent}");
    let request = request("GET", DEADLY, &attempt);
    let answer = http::call(vms[vm].front(), &request, DEADLINE);
    let answer = answer.map(|answer| answer.status());
    record.note(&format!("{attempt} sent to {}: {answer:?}", vms[vm].name()));
}

fn request(method: &str, path: &str, attempt: &str) -> Vec<u8> {
    let deadline = DEADLINE.as_millis();
    let head = format!(
        "{method} /{method}{path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {deadline}\r\nKey: k1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    head.into_bytes()
}

/// Other clients, whose requests must not run twice.
struct Others {
    lost: Arc<AtomicUsize>,
    ended: Arc<AtomicBool>,
}

impl Others {
    fn start(vms: &[Vm], record: &Record) -> Self {
        let others = Self {
            lost: Arc::default(),
            ended: Arc::default(),
        };
        let fronts: Vec<SocketAddr> = vms.iter().map(Vm::front).collect();
        for number in 0..CLIENTS {
            let (fronts, record) = (fronts.clone(), record.clone());
            let (lost, ended) = (Arc::clone(&others.lost), Arc::clone(&others.ended));
            thread::spawn(move || {
                let mut count = number;
                while !ended.load(Ordering::Relaxed) {
                    count += 1;
                    let attempt = format!("other-{number}-{count}");
                    let front = fronts[count % fronts.len()];
                    let answer = http::call(front, &request("POST", "/pay", &attempt), DEADLINE);
                    let answer = answer.map(|answer| answer.status());
                    record.note(&format!("{attempt} sent to {front}: {answer:?}"));
                    if answer == Ok(502) {
                        lost.fetch_add(1, Ordering::Relaxed);
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
        others
    }

    fn lost(&self) -> usize {
        self.lost.load(Ordering::Relaxed)
    }
}

impl Drop for Others {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

/// Configuration with a route for requests that may run again and one for others.
const CONFIG: &str = r#"{"version":"00000001","services":[{"name":"s","health_path":"/health","max_conns":330,"protocol":"h1","tls":false,"warmup":"3s","warmup_per_s":18.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"tenants":[{"name":"w1","api_keys":["k1"],"priority":1,"rate_per_s":0,"burst":0,"home_regions":[]}],"hosts":[{"host":"h.example","paths":[{"name":"r-get","prefix":"/GET/","type":"safe","timeout":"2000ms","target_latency":"300ms","priority":1,"service":"s","max_attempts":2,"public":false,"sticky":false,"home_regions":[]},{"name":"r-post","prefix":"/POST/","type":"unsafe","timeout":"2000ms","target_latency":"300ms","priority":1,"service":"s","max_attempts":2,"public":false,"sticky":false,"home_regions":[]}]}]}"#;
