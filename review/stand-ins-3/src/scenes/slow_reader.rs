//! Backend servers that read a long body late, while the machine that sends it stops as planned.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use super::config_with;
use crate::client::{Call, Client};
use crate::server::{Act, Ending, Server};
use crate::{Stage, Verdict};

/// Number of uploads, one at each server.
const UPLOADS: u8 = 4;

/// As many as the largest upload of the deployment has.
const BODY_BYTES: usize = 360_000;

/// Time after which a server reads the body of a request that it runs.
const PAUSE: Duration = Duration::from_millis(4_200);

/// Time from the start of the uploads to SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(400);

/// The bound `grace` of the settings, and what the rule excuses: work that goes on in its last sixth.
const GRACE: Duration = Duration::from_secs(6);

/// What the client of an upload got.
#[derive(Debug)]
struct Upload {
    attempt: String,
    status: Result<u16, String>,
    ended: Instant,
}

/// Plays the case.
pub fn play(stage: &mut Stage) -> io::Result<Verdict> {
    // The deadline is 10 s, as that of the uploads of the deployment.
    stage
        .store
        .put("op/config", &config_with(1, 64 << 20, "6600ms"));
    let has_trouble = stage.has_trouble;
    let start = |number: u8| {
        let ip = stage.ip(100 + number).into();
        let Stage {
            store,
            record,
            runs,
            ..
        } = &*stage;
        let act = if has_trouble {
            Act::ReadLate(PAUSE)
        } else {
            Act::Run(PAUSE)
        };
        let id = format!("i-{number:08x}");
        Server::start(
            &id,
            ip,
            "a",
            1,
            store,
            record,
            runs,
            Arc::new(move |_: &_| act),
        )
    };
    let _servers: Vec<Arc<Server>> = (0..UPLOADS).map(start).collect::<io::Result<_>>()?;
    let vms = stage.start_vms(&["a", "b"])?;
    // Both VMs know each other and the servers, and no disruption is near.
    sleep(Duration::from_secs(5));
    let addr = vms[0].addr();
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|number| upload(stage, addr, number))
        .collect();
    sleep(STOP_AFTER);
    stage.record.note("SIGTERM to VM 0");
    let stopped = Instant::now();
    vms[0].terminate()?;
    let uploads = uploads.into_iter().map(thread::JoinHandle::join);
    let uploads: Vec<Upload> = uploads.flatten().collect();
    sleep(GRACE.saturating_sub(stopped.elapsed()));
    drop(vms);
    let runs = stage.runs.all();
    let mut broken = 0;
    for Upload {
        attempt,
        status,
        ended,
    } in &uploads
    {
        let run = runs.iter().find(|run| run.attempt == *attempt);
        let Some(run) = run else {
            stage.record.tell(format!(
                "{attempt}: no server runs it, the client gets {status:?}"
            ));
            continue;
        };
        let since = ended.saturating_duration_since(stopped);
        let is_excused = since > GRACE - GRACE / 6;
        let is_broken = *status != Ok(200) && !is_excused;
        broken += usize::from(is_broken);
        let ending = if run.ending == Ending::Dropped {
            "its connection was closed while the server was at work"
        } else {
            "it was run to its end"
        };
        stage.record.tell(format!(
            "{attempt}: {ending}, the client gets {status:?} {:.3} s after SIGTERM",
            since.as_secs_f64()
        ));
    }
    stage.record.tell(format!(
        "{broken} requests at which their server was at work were broken off"
    ));
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn upload(stage: &Stage, addr: SocketAddr, number: u8) -> thread::JoinHandle<Upload> {
    let record = Arc::clone(&stage.record);
    thread::spawn(move || {
        let attempt = format!("u{number}");
        let mut client = Client::new(addr).with_deadline(Duration::from_secs(10));
        record.note(format!("{attempt} is sent to VM 0: {BODY_BYTES} bytes"));
        let answer = client.call(&Call {
            method: "POST",
            path: "/pay/video",
            attempt: &attempt,
            body: &vec![b'v'; BODY_BYTES],
        });
        let ended = Instant::now();
        let status = answer
            .map(|head| head.status())
            .map_err(|error| error.to_string());
        record.note(format!("{attempt} gets {status:?}"));
        Upload {
            attempt,
            status,
            ended,
        }
    })
}
