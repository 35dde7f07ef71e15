//! Who may speak to a daemon, and how it stops.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::time::Duration;

use common::{Cluster, any_port, key_record};
use wire::sync::Request;
use wire::{Denylist, Pool, Secret};

#[tokio::test(flavor = "multi_thread")]
async fn process_without_the_secret_gets_nothing_in_or_out() {
    let cluster = Cluster::start(1, 1).await;
    cluster.write_key(key_record(3, false)).await;
    cluster.until("the key", |status| status.keys == 1).await;
    let addr = cluster.daemons[0].control.addr();
    let stranger = Pool::new(Secret::new([8; 32]), Denylist::new());
    let limit = Duration::from_secs(3);
    let read = stranger.call(addr, limit, async |client, context| {
        client.sync(context, Request::default()).await
    });
    assert!(read.await.is_err());
    let keyring = wire::keyring::Keyring {
        records: vec![key_record(3, true)],
    };
    let write = stranger.call(addr, limit, async |client, context| {
        client.withdraw(context, keyring).await
    });
    assert!(write.await.is_err());
    assert_eq!(cluster.statuses()[0].withdrawn, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_are_no_handshake_get_no_answer() {
    let cluster = Cluster::start(1, 1).await;
    let addr = cluster.daemons[0].control.addr();
    let answer = tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(addr).expect("the daemon listens");
        let mut question = vec![0, 96];
        question.extend([1; 96]);
        stream.write_all(&question).expect("bytes are taken");
        let mut answer = Vec::new();
        // A reset instead of an end is no answer either.
        let _ = stream.read_to_end(&mut answer);
        answer
    });
    assert_eq!(answer.await.expect("no panic"), Vec::<u8>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_gives_its_lease_back_and_exits_on_sigterm() {
    let cluster = Cluster::start(1, 1).await;
    let peer = any_port();
    cluster.list("other", "z9", peer);
    let dir = tempfile::tempdir().expect("a directory");
    let secret_file = dir.path().join("secret");
    std::fs::write(&secret_file, "07".repeat(32)).expect("a file");
    let settings = dir.path().join("control.toml");
    let text = format!(
        "vm = \"other\"\nzone = \"z9\"\npeer = \"{peer}\"\nplatform = \"http://{}\"\n\
         secret_file = \"{}\"\n",
        cluster.platform.addr(),
        secret_file.display()
    );
    std::fs::write(&settings, text).expect("a file");
    let mut child = Command::new(env!("CARGO_BIN_EXE_teaseldoor-control"))
        .arg("--settings")
        .arg(&settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let output = BufReader::new(child.stdout.take().expect("its output"));
    let mut lines = output.lines();
    let started = lines.next().expect("a line").expect("text");
    assert!(started.contains("ControlStarted"), "{started}");
    let client = cluster.client();
    let held = || {
        let lock = client
            .lock::<String>("teaseldoor/lead/z9")
            .expect("an answer");
        lock.session.is_some()
    };
    while !held() {
        std::thread::sleep(Duration::from_millis(20));
    }
    let pid = child.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &pid]).status();
    assert!(sent.expect("a signal").success());
    let rest: Vec<String> = lines.map_while(Result::ok).collect();
    assert!(
        rest.iter().any(|line| line.contains("ControlStopped")),
        "{rest:?}"
    );
    assert!(child.wait().expect("it ends").success());
    assert!(!held(), "the lease was not given back");
}
