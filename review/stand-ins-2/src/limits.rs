//! A configuration raises the limit on bodies while clients keep their connections open.

use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http;
use crate::record::Record;
use crate::server::{Deaths, Server};
use crate::store::Store;
use crate::vm::Vm;

/// Bounds `config_apply` and `contact` of the settings.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
const CONTACT: Duration = Duration::from_secs(3);

/// Limits on bodies before and after the change.
const EARLIER_BYTES: usize = 64 << 10;
const LATER_BYTES: usize = 1 << 20;

/// Size of an upload that only the later configuration allows.
const UPLOAD_BYTES: usize = 200 << 10;

const CONNECTIONS: usize = 60;
const SERVERS: usize = 4;
const WORK: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_secs(2);

/// Counts of the requests by how they ended.
#[derive(Debug, Default)]
struct Counts {
    sent: usize,
    served: usize,
    denied: usize,
}

/// Plays the case.
pub fn play(files: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let first = if has_trouble {
        EARLIER_BYTES
    } else {
        LATER_BYTES
    };
    store.put("op/config", &config(1, first));
    let deaths = Deaths::default();
    for number in 0..SERVERS {
        Server::start(number, "a", &store, record, WORK, &deaths);
    }
    thread::sleep(Duration::from_millis(200));
    let vm = Vm::start(files.join("front-0"), "front-0", "a", &[], store.addr);
    if !vm.wait_ready(Duration::from_secs(10)) {
        record.note("the entry VM did not become ready");
        return Verdict::NotRun;
    }
    thread::sleep(CONTACT + Duration::from_secs(1));
    let mut counts = Counts::default();
    let connect = || TcpStream::connect(vm.front());
    let Ok(mut kept) = (0..CONNECTIONS)
        .map(|_| connect())
        .collect::<Result<Vec<_>, _>>()
    else {
        record.note("no connection to the entry VM");
        return Verdict::NotRun;
    };
    for (number, stream) in kept.iter_mut().enumerate() {
        send(stream, &format!("small-{number}"), 100, record, &mut counts);
    }
    if has_trouble {
        store.put("op/config", &config(2, LATER_BYTES));
        record.note(&format!(
            "the store acknowledges version 2, which allows {LATER_BYTES} bytes"
        ));
    }
    thread::sleep(CONFIG_APPLY + CONTACT);
    for number in 0..CONNECTIONS {
        let Ok(mut stream) = connect() else { continue };
        let attempt = format!("fresh-{number}");
        send(&mut stream, &attempt, UPLOAD_BYTES, record, &mut counts);
    }
    let denied_fresh = counts.denied;
    for (number, stream) in kept.iter_mut().enumerate() {
        let attempt = format!("kept-{number}");
        send(stream, &attempt, UPLOAD_BYTES, record, &mut counts);
    }
    let Counts {
        sent,
        served,
        denied,
    } = counts;
    let allowed = 5 + sent / 500;
    record.note(&format!(
        "{sent} requests, {served} served, {denied} ended with a 4xx of the entry VM (allowed {allowed}), {denied_fresh} of them on new connections"
    ));
    if denied > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends a request with a body of `bytes` on an open connection, and counts its answer.
fn send(stream: &mut TcpStream, attempt: &str, bytes: usize, record: &Record, counts: &mut Counts) {
    use std::io::Write;
    let deadline = DEADLINE.as_millis();
    let head = format!(
        "POST /film/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {deadline}\r\nKey: k1\r\nContent-Length: {bytes}\r\n\r\n"
    );
    let _ = stream.set_read_timeout(Some(DEADLINE));
    let _ = stream.set_nodelay(true);
    counts.sent += 1;
    // The entry VM may answer before it has read all of it.
    let _ = stream.write_all(&[head.as_bytes(), &vec![b'f'; bytes]].concat());
    let answer = http::read(stream, &mut Vec::new());
    let status = match &answer {
        Ok(Some(response)) => response.status(),
        _ => 0,
    };
    counts.served += usize::from(status == 200);
    counts.denied +=
        usize::from((300..500).contains(&status) && ![408, 421, 429].contains(&status));
    record.note(&format!("{attempt} with {bytes} bytes: {status}"));
}

fn config(version: u32, max_body_bytes: usize) -> String {
    format!(
        r#"{{"version":"{version:08x}","services":[{{"name":"s","health_path":"/health","max_conns":330,"protocol":"h1","tls":false,"warmup":"3s","warmup_per_s":18.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":{max_body_bytes},"header_timeout":"3000ms","idle_timeout":"15000ms"}},"tenants":[{{"name":"w1","api_keys":["k1"],"priority":1,"rate_per_s":0,"burst":0,"home_regions":[]}}],"hosts":[{{"host":"h.example","paths":[{{"name":"r-film","prefix":"/film/","type":"upload","timeout":"2000ms","target_latency":"300ms","priority":1,"service":"s","max_attempts":2,"public":false,"sticky":false,"home_regions":[]}}]}}]}}"#
    )
}
