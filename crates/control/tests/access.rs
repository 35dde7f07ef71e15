//! Tests of access control and shutdown of a daemon.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::time::Duration;

use common::{Cluster, any_port, key_record};
use wire::sync::Request;
use wire::{Denylist, Pool, Secret};

#[tokio::test(flavor = "multi_thread")]
async fn process_without_secret_can_neither_read_nor_write() {
    let cluster = Cluster::start(1, 1).await;
    cluster.write_key(key_record(3, false)).await;
    cluster
        .wait_until("key record", |status| status.keys == 1)
        .await;
    let addr = cluster.daemons[0].control.addr();
    let unauthorized = Pool::new(Secret::new([8; 32]), Denylist::new());
    let limit = Duration::from_secs(3);
    let read = unauthorized.call(addr, limit, async |client, context| {
        client.sync(context, Request::default()).await
    });
    assert!(read.await.is_err());
    let keyring = wire::keyring::Keyring {
        records: vec![key_record(3, true)],
    };
    let write = unauthorized.call(addr, limit, async |client, context| {
        client.withdraw(context, keyring).await
    });
    assert!(write.await.is_err());
    assert_eq!(cluster.statuses()[0].withdrawn, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_handshake_gets_no_response() {
    let cluster = Cluster::start(1, 1).await;
    let addr = cluster.daemons[0].control.addr();
    let response = tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(addr).expect("daemon listens");
        let mut request = vec![0, 96];
        request.extend([1; 96]);
        stream.write_all(&request).expect("request is written");
        let mut response = Vec::new();
        // The connection may be reset instead of closed.
        let _ = stream.read_to_end(&mut response);
        response
    });
    assert_eq!(
        response.await.expect("task does not panic"),
        Vec::<u8>::new()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_releases_lease_and_exits_on_sigterm() {
    let cluster = Cluster::start(1, 1).await;
    let peer = any_port();
    cluster.list("other", "z9", peer);
    let dir = tempfile::tempdir().expect("temporary directory");
    let secret_file = dir.path().join("secret");
    std::fs::write(&secret_file, "07".repeat(32)).expect("file is written");
    let settings = dir.path().join("control.toml");
    let text = format!(
        "vm = \"other\"\nzone = \"z9\"\npeer = \"{peer}\"\nplatform = \"http://{}\"\n\
         secret_file = \"{}\"\n",
        cluster.platform.addr(),
        secret_file.display()
    );
    std::fs::write(&settings, text).expect("file is written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_teaseldoor-control"))
        .arg("--settings")
        .arg(&settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("process starts");
    let output = BufReader::new(child.stdout.take().expect("stdout is piped"));
    let mut lines = output.lines();
    let started = lines
        .next()
        .expect("process logs a line")
        .expect("line is UTF-8");
    assert!(started.contains("ControlStarted"), "{started}");
    let client = cluster.client();
    let is_held = || {
        let lock = client
            .lock::<String>("teaseldoor/lead/z9")
            .expect("platform responds");
        lock.session.is_some()
    };
    while !is_held() {
        std::thread::sleep(Duration::from_millis(20));
    }
    let pid = child.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &pid]).status();
    assert!(sent.expect("kill runs").success());
    let remaining: Vec<String> = lines.map_while(Result::ok).collect();
    assert!(
        remaining.iter().any(|line| line.contains("ControlStopped")),
        "{remaining:?}"
    );
    assert!(child.wait().expect("process exits").success());
    assert!(!is_held(), "lease was not released");
}
