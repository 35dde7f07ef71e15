//! Proper requests near the limits of the configuration.

use std::io;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use super::config;
use crate::client::{Call, Client};
use crate::server::{Act, Server};
use crate::{Stage, Verdict};

/// Number of clients; each keeps its connection.
const CLIENTS: usize = 40;

/// Number of small requests of each client.
const SMALL_CALLS: usize = 10;

const MIB: usize = 1 << 20;

/// Answers 3xx and 4xx of the system's own that the rule allows, beside one in [`ONE_IN`].
const ALLOWED: usize = 5;
const ONE_IN: usize = 500;

/// The operator raises the largest body, and clients then send larger ones.
pub fn raised(stage: &mut Stage) -> io::Result<Verdict> {
    let largest = 4 * MIB as u64;
    // Without the disruption, the larger limit is in force from the start.
    let first = if stage.has_trouble {
        MIB as u64
    } else {
        largest
    };
    stage.store.put("op/config", &config(1, first));
    let _servers = start_servers(stage)?;
    let vms = stage.start_vms(&["a", "b"])?;
    let addr = |number: usize| vms[number % vms.len()].addr();
    let mut clients: Vec<Client> = (0..CLIENTS)
        .map(|number| Client::new(addr(number)))
        .collect();
    let mut denied = Vec::new();
    let mut sent = small_calls(stage, &mut clients, "before", &mut denied);
    stage.store.put("op/config", &config(2, largest));
    stage.record.note(format!(
        "version 2 is acknowledged: bodies up to {largest} bytes"
    ));
    // Several times `config_apply`, in which the clients go on.
    for round in 0..4 {
        sent += small_calls(stage, &mut clients, &format!("after-{round}"), &mut denied);
        sleep(Duration::from_millis(1_500));
    }
    let body = vec![b'v'; 2 * MIB];
    for (number, client) in clients.iter_mut().enumerate() {
        let attempt = format!("large-{number}");
        sent += 1;
        let was_kept = client.is_connected();
        let status = send(stage, client, &attempt, "", &body);
        stage.record.note(format!(
            "{attempt} on a kept connection ({was_kept}): {status}"
        ));
        note_denied(&attempt, status, &mut denied);
    }
    let mut fresh = Client::new(addr(0));
    sent += 1;
    let status = send(stage, &mut fresh, "large-new", "", &body);
    stage
        .record
        .tell(format!("the same body on a new connection: {status}"));
    note_denied("large-new", status, &mut denied);
    Ok(judge(stage, sent, &denied))
}

/// Clients send requests with many headers, all of them small.
pub fn many_headers(stage: &mut Stage) -> io::Result<Verdict> {
    let count = if stage.has_trouble { 70 } else { 40 };
    stage.store.put("op/config", &config(1, 4 * MIB as u64));
    let _servers = start_servers(stage)?;
    let vms = stage.start_vms(&["a", "b"])?;
    let addr = |number: usize| vms[number % vms.len()].addr();
    let mut clients: Vec<Client> = (0..CLIENTS)
        .map(|number| Client::new(addr(number)))
        .collect();
    let mut denied = Vec::new();
    let mut sent = small_calls(stage, &mut clients, "few", &mut denied);
    let further: String = (0..count)
        .map(|number| format!("X-Tag-{number}: v{number}\r\n"))
        .collect();
    stage
        .record
        .tell(format!("{count} further headers, {} bytes", further.len()));
    for (number, client) in clients.iter_mut().enumerate() {
        let attempt = format!("many-{number}");
        sent += 1;
        let status = send(stage, client, &attempt, &further, b"order");
        stage.record.note(format!("{attempt}: {status}"));
        note_denied(&attempt, status, &mut denied);
    }
    Ok(judge(stage, sent, &denied))
}

fn start_servers(stage: &Stage) -> io::Result<Vec<Arc<Server>>> {
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
        let script = Arc::new(|_: &_| Act::Run(Duration::from_millis(5)));
        Server::start(&id, ip, zone, 6, store, record, runs, script)
    };
    (0..4).map(start).collect()
}

fn small_calls(
    stage: &Stage,
    clients: &mut [Client],
    phase: &str,
    denied: &mut Vec<(String, u16)>,
) -> usize {
    for turn in 0..SMALL_CALLS / 5 {
        for (number, client) in clients.iter_mut().enumerate() {
            let attempt = format!("{phase}-{turn}-{number}");
            let status = send(stage, client, &attempt, "", b"order");
            note_denied(&attempt, status, denied);
        }
    }
    SMALL_CALLS / 5 * clients.len()
}

/// Sends a request; returns the status, or 0 if there is no answer.
fn send(stage: &Stage, client: &mut Client, attempt: &str, further: &str, body: &[u8]) -> u16 {
    let answer = client.call(&Call {
        method: "POST",
        path: "/pay/order",
        attempt,
        further,
        body,
    });
    match answer {
        Ok(head) => head.status(),
        Err(error) => {
            stage
                .record
                .note(format!("{attempt} has no answer: {error}"));
            0
        }
    }
}

fn note_denied(attempt: &str, status: u16, denied: &mut Vec<(String, u16)>) {
    let is_promise = matches!(status, 408 | 421 | 429);
    if (300..500).contains(&status) && !is_promise {
        denied.push((attempt.to_owned(), status));
    }
}

fn judge(stage: &Stage, sent: usize, denied: &[(String, u16)]) -> Verdict {
    for (attempt, status) in denied {
        stage
            .record
            .note(format!("{attempt} is proper and ended with {status}"));
    }
    let allowed = ALLOWED + sent / ONE_IN;
    let count = denied.len();
    stage.record.tell(format!(
        "{sent} requests sent, {count} proper ones ended with 4xx, {allowed} are allowed"
    ));
    if count > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
