//! Test environment: a platform, daemons in two zones and the client's executable.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use control::Control;
use gate::Gate;
use serde_json::Value;
use standin::listener::Listener;
use standin::platform::{Meta, Platform, Settings, State, Vm};
use tempfile::TempDir;
use timer::Service;
use tokio::runtime::{Builder, Runtime};
use wire::{Denylist, Secret};

/// Text that tests start with.
pub const TEXT: &str = include_str!("../../../../examples/isartal.toml");

/// Zones of [`TEXT`] that have an entry VM.
pub const ZONES: [&str; 2] = ["obb-a", "ndb-a"];

const SECRET: &str = "5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a";

/// Maximum time that a test waits for a state, in milliseconds.
const WAIT_LIMIT_MS: u64 = 15_000;

/// Interval between two checks of the state, in milliseconds.
const POLL_MS: u64 = 50;

/// Result of a run of the client.
#[derive(Debug)]
pub struct Ran {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl Ran {
    fn new(output: Output) -> Self {
        Self {
            code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8(output.stdout).expect("standard output is UTF-8"),
            stderr: String::from_utf8(output.stderr).expect("standard error is UTF-8"),
        }
    }

    /// Asserts the exit code.
    #[track_caller]
    pub fn expect(self, code: i32) -> Self {
        assert_eq!(self.code, code, "{self:#?}");
        self
    }

    /// Reads standard output as JSON.
    #[track_caller]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:#?}"))
    }
}

/// Runs the client.
pub fn teaseldoor<'a>(args: impl IntoIterator<Item = &'a str>) -> Ran {
    let mut command = Command::new(env!("CARGO_BIN_EXE_teaseldoor"));
    command.args(args).stdin(Stdio::null());
    Ran::new(command.output().expect("the client starts"))
}

/// Temporary directory for texts.
#[derive(Debug)]
pub struct Files {
    dir: TempDir,
}

impl Files {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self {
            dir: TempDir::new().expect("the directory is created"),
        }
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        self.dir.path()
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, content: &str) -> String {
        let path = self.dir.path().join(name);
        fs::write(&path, content).expect("the file is written");
        path.to_str().expect("the path is UTF-8").to_owned()
    }
}

/// An entry VM, with switches for network faults.
pub struct Entry {
    /// Address of its control daemon.
    pub peer: SocketAddr,
    /// Addresses that its daemons cannot connect to.
    pub denylist: Denylist,
    /// Listener of the platform that this VM connects to.
    pub platform: Listener,
    control: Option<Control>,
    _gate: Gate,
}

/// A platform and an entry VM in each of [`ZONES`].
pub struct Env {
    /// The platform.
    pub platform: Platform,
    /// Entry VMs, in the order of [`ZONES`].
    pub entries: Vec<Entry>,
    /// Directory of the texts, the settings and the secret.
    pub files: Files,
    settings: String,
    runtime: Runtime,
}

impl Env {
    /// Starts the platform and the entry VMs.
    pub fn new() -> Self {
        Self::with_zones(&ZONES)
    }

    /// Starts the platform without entry VMs.
    pub fn without_entries() -> Self {
        Self::with_zones(&[])
    }

    fn with_zones(zones: &[&str]) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("the runtime starts");
        let platform =
            Platform::start(any_port(), Settings::default()).expect("the platform starts");
        let files = Files::new();
        files.write("secret", SECRET);
        let start = |zone: &&str| runtime.block_on(start_entry(zone, &platform));
        let entries: Vec<Entry> = zones.iter().map(start).collect();
        wait_until_all_listed(&entries);
        let settings = format!(
            "platform = \"http://{}\"\nsecret_file = \"secret\"\nauthor = \"tester\"\n",
            platform.addr()
        );
        let settings = files.write("settings.toml", &settings);
        Self {
            platform,
            entries,
            files,
            settings,
            runtime,
        }
    }

    /// Runs the client with the settings of this environment.
    pub fn run(&self, args: &[&str]) -> Ran {
        let settings = ["--settings", self.settings.as_str()];
        teaseldoor(settings.iter().chain(args).copied())
    }

    /// Applies a text and asserts that it is accepted.
    #[track_caller]
    pub fn apply(&self, content: &str) {
        let file = self.files.write("applied.toml", content);
        self.run(&["apply", &file]).expect(0);
    }

    /// Runs a command with `--json` until its report fulfils `condition`.
    #[track_caller]
    pub fn run_until(&self, args: &[&str], condition: impl Fn(&Value) -> bool) -> Value {
        let deadline = Instant::now() + Duration::from_millis(WAIT_LIMIT_MS);
        loop {
            let ran = self.run(&[args, &["--json"]].concat());
            if ran.code == 0 && condition(&ran.json()) {
                return ran.json();
            }
            assert!(
                Instant::now() < deadline,
                "the condition is not fulfilled in time: {ran:#?}"
            );
            thread::sleep(Duration::from_millis(POLL_MS));
        }
    }

    /// Partitions the zone at `index` from the platform and from the other zones.
    pub fn partition(&self, index: usize) {
        self.entries[index].platform.cut();
        for (other, entry) in self.entries.iter().enumerate() {
            if other != index {
                entry.denylist.deny([self.entries[index].peer]);
                self.entries[index].denylist.deny([entry.peer]);
            }
        }
    }
}

impl Drop for Env {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            if let Some(control) = entry.control.take() {
                self.runtime.block_on(control.stop());
            }
        }
    }
}

/// Waits until each daemon has read the list of all VMs.
fn wait_until_all_listed(entries: &[Entry]) {
    let deadline = Instant::now() + Duration::from_millis(WAIT_LIMIT_MS);
    let knows_all = |entry: &Entry| {
        let control = entry.control.as_ref().expect("the control daemon runs");
        control.status().entries.len() == entries.len()
    };
    while !entries.iter().all(knows_all) {
        assert!(Instant::now() < deadline, "a daemon does not know all VMs");
        thread::sleep(Duration::from_millis(POLL_MS));
    }
}

async fn start_entry(zone: &str, platform: &Platform) -> Entry {
    let secret: Secret = SECRET.parse().expect("the secret is valid");
    let denylist = Denylist::new();
    let listener = platform
        .listen_also(any_port())
        .expect("the listener starts");
    let name = format!("vm-{zone}");
    let settings = control::Config {
        vm: name.clone(),
        zone: zone.to_owned(),
        peer: any_port(),
        platform: format!("http://{}", listener.addr()),
        seeds: Vec::new(),
        secret_file: PathBuf::new(),
        log_level: "off".to_owned(),
    };
    let control = Control::start(&settings, secret.clone(), Service::new(), denylist.clone())
        .await
        .expect("the control daemon starts");
    let settings = format!(
        "vm = \"{name}\"\nzone = \"{zone}\"\nlisten = \"{}\"\ncontrol = \"{}\"\nsecret_file = \"\"",
        any_port(),
        control.addr()
    );
    let settings: gate::Config =
        toml::from_str(&settings).expect("the settings of the gate are valid");
    let gate = Gate::start(&settings, secret, Service::new(), denylist.clone())
        .await
        .expect("the gate starts");
    platform.register(Vm {
        id: name,
        name: "entry".to_owned(),
        address: "127.0.0.1".to_owned(),
        port: gate.addr().port(),
        meta: Meta {
            zone: zone.to_owned(),
            peer: control.addr().to_string(),
            gate: gate.addr().to_string(),
            state: State::Live,
        },
    });
    let peer = control.addr();
    Entry {
        peer,
        denylist,
        platform: listener,
        control: Some(control),
        _gate: gate,
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
