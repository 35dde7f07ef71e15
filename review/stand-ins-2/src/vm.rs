//! Entry VMs as processes, started as the deploy file starts them.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// `run` of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/teaseldoor-entry";
const METRICS_PORT: u16 = 9108;

const FRONT_PORT: u16 = 8686;
const READY_PORT: u16 = 8680;

/// Signals of POSIX.
pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// Processes that were started and not yet waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ends all processes that run, and lets no other one start. The program must end next: the owners of the
/// processes do not know of it.
pub fn end_all() {
    let running = RUNNING
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    for pid in running.iter() {
        if let Ok(pid) = i32::try_from(*pid) {
            // SAFETY: `kill` takes two numbers; the process is a child that was not waited for.
            unsafe { kill(pid, SIGKILL) };
        }
    }
    // Whoever starts a process needs the lock.
    std::mem::forget(running);
}

fn note_ended(pid: u32) {
    let mut running = RUNNING
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    running.retain(|other| *other != pid);
}

/// An entry VM.
#[derive(Debug)]
pub struct Vm {
    name: String,
    ip: Ipv4Addr,
    folder: PathBuf,
    process: Option<Child>,
}

/// Returns a loopback address that no other process of this program uses.
pub fn unique_ip() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = u8::try_from(next).expect("at most 255 addresses");
    Ipv4Addr::new(127, high % 200 + 20, low, last)
}

impl Vm {
    /// Starts an entry VM of `zone` whose settings lie in `folder`.
    pub fn start(
        folder: PathBuf,
        name: &str,
        zone: &str,
        seeds: &[Ipv4Addr],
        store: SocketAddr,
    ) -> Self {
        fs::create_dir_all(&folder).expect("folder of the settings");
        let ip = unique_ip();
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{seed}:8688\""))
            .collect();
        let settings = settings(name, ip, zone, &seeds.join(","), store);
        fs::write(folder.join("settings.toml"), settings).expect("settings");
        let mut vm = Self {
            name: name.to_owned(),
            ip,
            folder,
            process: None,
        };
        vm.start_process();
        vm
    }

    /// Starts the process of the VM, which is not running.
    pub fn start_process(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log"));
        let log = log.expect("log");
        let mut running = RUNNING.lock().expect("processes");
        let process = Command::new(PROGRAM)
            .env("TEASELDOOR_CONFIG", self.folder.join("settings.toml"))
            .args(["--metrics-port", &METRICS_PORT.to_string()])
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn();
        let process = process.expect("process of the entry VM");
        running.push(process.id());
        self.process = Some(process);
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address.
    pub fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    /// Returns the address for clients.
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT_PORT).into()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            let pid = i32::try_from(process.id()).expect("process id");
            // SAFETY: `kill` takes two numbers; the process is a child that was not waited for.
            unsafe { kill(pid, signal) };
        }
    }

    /// Waits until the process has ended; returns whether it did in time.
    pub fn wait_end(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let ended = match &mut self.process {
                Some(process) => process.try_wait().is_ok_and(|status| status.is_some()),
                None => true,
            };
            if ended {
                if let Some(process) = self.process.take() {
                    note_ended(process.id());
                }
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Waits until the VM is ready; returns whether it is.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let request = b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        while Instant::now() < until {
            let addr = (self.ip, READY_PORT).into();
            let answer = http::call(addr, request, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            note_ended(process.id());
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

fn settings(name: &str, ip: Ipv4Addr, zone: &str, seeds: &str, store: SocketAddr) -> String {
    format!(
        r#"node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front", "directory", "control"]
ip = "{ip}"
zone = "{zone}"
region = "r"
internal_ports = [7740, 7755]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat = "1500ms"
[zones]
a = "r"
b = "r"
[listen]
front = "{ip}:{FRONT_PORT}"
ready = "{ip}:{READY_PORT}"
control = "{ip}:8688"
directory = "{ip}:8684"
[limits]
cpu_share = 0.2
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact = "3000ms"
drain = "2000ms"
grace = "6s"
loss_slack = "200ms"
config_apply = "2000ms"
budget_ratio = 0.2
budget_window = "10s"
budget_extra = 56
quota_window = "5s"
warmup_overage = 1.5
warmup_slack = 5
ttl_max = "5s"
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history = "20s"
value_bytes = 1048576
ttl_min = "1000ms"
"#
    )
}
