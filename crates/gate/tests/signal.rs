//! Tests that the executable shuts down gracefully on SIGTERM.

mod common;

use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use common::{Client, exchange, keyed_with};
use load::echo::Echo;
use load::fixture::{Control, text};
use tokio::time::sleep;

struct Running {
    child: Child,
    lines: std::io::Lines<BufReader<std::process::ChildStdout>>,
    seen: String,
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Running {
    fn start(settings: &std::path::Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_teaseldoor-gate"))
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the gate starts");
        let output = child.stdout.take().expect("a piped stdout");
        Self {
            child,
            lines: BufReader::new(output).lines(),
            seen: String::new(),
        }
    }

    /// Reads log lines up to the event `name` and returns that line.
    fn wait_for(&mut self, name: &str) -> serde_json::Value {
        loop {
            let line = self.lines.next().expect("the gate runs").expect("a line");
            self.seen += &line;
            let line: serde_json::Value = serde_json::from_str(&line).expect("JSON");
            if line["name"] == name {
                return line;
            }
        }
    }

    fn terminate(&self) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(sent.expect("kill runs").success());
    }
}

/// Waits until the gate holds a share of the workspace's rate.
async fn wait_for_share(addr: SocketAddr, key: &str) {
    for _ in 0..500 {
        let response = exchange(addr, keyed_with(key, "GET", "/reader", "", "")).await;
        if response.status == 200 {
            return;
        }
        assert_eq!(response.refusal().0, "rate-exceeded");
        sleep(Duration::from_millis(10)).await;
    }
    panic!("the gate received no share in time");
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_finishes_requests_in_flight() {
    let echo = Echo::start().await.expect("an echo server starts");
    let text = text(&[echo.addr()], 64, 60_000);
    let control = Control::start(&text)
        .await
        .expect("a control daemon starts");
    let directory = tempfile::tempdir().expect("a directory");
    let mut config = control.gate_config(gate::Limits::default(), None);
    config.secret_file = directory.path().join("secret");
    let mut digits = String::new();
    for byte in control.secret {
        let _ = write!(digits, "{byte:02x}");
    }
    std::fs::write(&config.secret_file, digits).expect("the secret is written");
    let settings = directory.path().join("gate.toml");
    let toml_text = toml::to_string(&config).expect("settings");
    std::fs::write(&settings, toml_text).expect("the settings are written");
    let mut gate = Running::start(&settings);
    let started = gate.wait_for("GateStarted");
    let addr: SocketAddr = started["addr"]
        .as_str()
        .expect("an address")
        .parse()
        .expect("a valid address");
    gate.wait_for("ConfigInForce");
    let key = control.key.reveal();
    wait_for_share(addr, key).await;
    let mut client = Client::connect(addr).await;
    client
        .send(keyed_with(key, "POST", "/reader/wait/3500", "", "body"))
        .await;
    sleep(Duration::from_millis(300)).await;
    gate.terminate();
    let leaving = gate.wait_for("GateLeaving");
    assert_eq!(leaving["in_flight"], 1);
    let response = client.response().await.expect("a response");
    assert_eq!((response.status, response.complete), (200, true));
    assert_eq!(response.header("connection"), Some("close"));
    assert_eq!(gate.wait_for("GateStopped")["cut"], 0);
    assert!(gate.child.wait().expect("an exit status").success());
    assert!(!gate.seen.contains(key));
}
