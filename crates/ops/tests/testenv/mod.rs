//! A platform, daemons in two zones and the client's executable.

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

/// The text that tests start from.
pub const TEXT: &str = include_str!("../../../../examples/isartal.toml");

/// Zones of [`TEXT`] that have an entry VM.
pub const ZONES: [&str; 2] = ["obb-a", "ndb-a"];

const SECRET: &str = "5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a5a";

/// Longest time that a test waits for a state to come about.
const PATIENCE_MS: u64 = 15_000;

/// Pause between two looks for it.
const LOOK_MS: u64 = 50;

/// What a run of the client gave.
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
            stdout: String::from_utf8(output.stdout).expect("output is UTF-8"),
            stderr: String::from_utf8(output.stderr).expect("errors are UTF-8"),
        }
    }

    /// Expects an exit code.
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

/// A directory for texts.
#[derive(Debug)]
pub struct Files {
    dir: TempDir,
}

impl Files {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self {
            dir: TempDir::new().expect("a directory"),
        }
    }

    /// Returns the directory.
    pub fn path(&self) -> &Path {
        self.dir.path()
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, content: &str) -> String {
        let path = self.dir.path().join(name);
        fs::write(&path, content).expect("a file");
        path.to_str().expect("a path in UTF-8").to_owned()
    }
}

/// An entry VM with the fault switches of its zone.
pub struct Entry {
    /// Address of its control daemon.
    pub peer: SocketAddr,
    /// Addresses that its daemons may not dial.
    pub reach: Denylist,
    /// Its way to the platform.
    pub platform: Listener,
    control: Option<Control>,
    _gate: Gate,
}

/// A platform and an entry VM in each of [`ZONES`].
pub struct Env {
    /// The platform.
    pub platform: Platform,
    /// Entry VMs, as [`ZONES`].
    pub entries: Vec<Entry>,
    /// Texts, settings and the secret.
    pub files: Files,
    settings: String,
    runtime: Runtime,
}

impl Env {
    /// Starts everything.
    pub fn new() -> Self {
        Self::with_zones(&ZONES)
    }

    /// Starts only the platform.
    pub fn without_entries() -> Self {
        Self::with_zones(&[])
    }

    fn with_zones(zones: &[&str]) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .expect("a runtime");
        let platform = Platform::start(any_port(), Settings::default()).expect("a platform");
        let files = Files::new();
        files.write("secret", SECRET);
        let start = |zone: &&str| runtime.block_on(start(zone, &platform));
        let entries: Vec<Entry> = zones.iter().map(start).collect();
        wait_until_listed(&entries);
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

    /// Runs the client with this environment's settings.
    pub fn run(&self, args: &[&str]) -> Ran {
        let settings = ["--settings", self.settings.as_str()];
        teaseldoor(settings.iter().chain(args).copied())
    }

    /// Applies a text and expects it to be accepted.
    #[track_caller]
    pub fn apply(&self, content: &str) {
        let file = self.files.write("applied.toml", content);
        self.run(&["apply", &file]).expect(0);
    }

    /// Runs a command with `--json` until its report is as `wanted`.
    #[track_caller]
    pub fn until(&self, args: &[&str], wanted: impl Fn(&Value) -> bool) -> Value {
        let end = Instant::now() + Duration::from_millis(PATIENCE_MS);
        loop {
            let ran = self.run(&[args, &["--json"]].concat());
            if ran.code == 0 && wanted(&ran.json()) {
                return ran.json();
            }
            assert!(Instant::now() < end, "never as wanted: {ran:#?}");
            thread::sleep(Duration::from_millis(LOOK_MS));
        }
    }

    /// Cuts the zone at `index` off from the platform and from the other zones.
    pub fn cut_off(&self, index: usize) {
        self.entries[index].platform.cut();
        for (other, entry) in self.entries.iter().enumerate() {
            if other != index {
                entry.reach.deny([self.entries[index].peer]);
                self.entries[index].reach.deny([entry.peer]);
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
fn wait_until_listed(entries: &[Entry]) {
    let end = Instant::now() + Duration::from_millis(PATIENCE_MS);
    let knows_all = |entry: &Entry| {
        let control = entry.control.as_ref().expect("it runs");
        control.status().entries.len() == entries.len()
    };
    while !entries.iter().all(knows_all) {
        assert!(Instant::now() < end, "a daemon does not know all VMs");
        thread::sleep(Duration::from_millis(LOOK_MS));
    }
}

async fn start(zone: &str, platform: &Platform) -> Entry {
    let secret: Secret = SECRET.parse().expect("a secret");
    let reach = Denylist::new();
    let listener = platform
        .listen_also(any_port())
        .expect("a way to the platform");
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
    let control = Control::start(&settings, secret.clone(), Service::new(), reach.clone())
        .await
        .expect("a control daemon");
    let settings = format!(
        "vm = \"{name}\"\nzone = \"{zone}\"\nlisten = \"{}\"\ncontrol = \"{}\"\nsecret_file = \"\"",
        any_port(),
        control.addr()
    );
    let settings: gate::Config = toml::from_str(&settings).expect("settings of a gate");
    let gate = Gate::start(&settings, secret, Service::new(), reach.clone())
        .await
        .expect("a gate");
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
        reach,
        platform: listener,
        control: Some(control),
        _gate: gate,
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
