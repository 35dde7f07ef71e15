//! Plays one case of the review: `scene NAME FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment, the same is played without the disruption.

mod client;
mod http;
mod json;
mod random;
mod record;
mod scenes;
mod server;
mod store;
mod vm;

use std::io;
use std::net::Ipv4Addr;
use std::os::unix::process::parent_id;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use random::Random;
use record::Record;
use server::Runs;
use store::Store;
use vm::{Fleet, Vm};

/// Longest time that a case takes.
const LIMIT: Duration = Duration::from_secs(115);

/// Outcome of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Broken,
    Held,
}

/// What all cases use.
pub struct Stage {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub runs: Arc<Runs>,
    pub random: Arc<Random>,
    pub has_trouble: bool,
    pub fleet: Fleet,
    /// First two numbers after 127 of the addresses of this run.
    network: (u8, u8),
}

impl Stage {
    fn new() -> io::Result<Self> {
        let record = Record::new();
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let seed = since.unwrap_or_default().as_nanos() as u64;
        record.note(format!("seed {seed}"));
        let random = Random::new(seed);
        for _ in 0..8 {
            random.next();
        }
        let network = (20 + random.below(200) as u8, random.below(250) as u8);
        let folder = std::env::temp_dir().join(format!("scene-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let store = Arc::new(Store::default());
        let addr = (Ipv4Addr::new(127, network.0, network.1, 250), 8682).into();
        store.listen(addr)?;
        Ok(Self {
            record,
            store,
            runs: Arc::default(),
            random: Arc::new(random),
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            fleet: Fleet {
                store: addr,
                seeds: Vec::new(),
                folder,
            },
            network,
        })
    }

    /// Returns an address of this run.
    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, last)
    }

    /// Starts entry VMs, one in each of `zones`, and waits until they are ready.
    pub fn start_vms(&mut self, zones: &[&str]) -> io::Result<Vec<Vm>> {
        self.fleet.seeds = (1..=zones.len() as u8).map(|n| self.ip(n)).collect();
        let numbered = (1..).zip(zones);
        let start = |(n, zone): (u8, &&str)| {
            Vm::start(&self.fleet, &format!("front-{zone}-{n}"), self.ip(n), zone)
        };
        let vms: Vec<Vm> = numbered.map(start).collect::<io::Result<_>>()?;
        for vm in &vms {
            vm.wait_ready()?;
        }
        self.record.note("the entry VMs are ready");
        Ok(vms)
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &args[..] else {
        eprintln!("usage: scene NAME FOLDER");
        return ExitCode::from(2);
    };
    match run(name, Path::new(folder)) {
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Ends this program and its entry VMs if the shell that started it ends, or if it takes too long.
fn watch(logs: PathBuf) {
    let parent = parent_id();
    let started = Instant::now();
    thread::spawn(move || {
        while parent_id() == parent && started.elapsed() < LIMIT {
            sleep(Duration::from_millis(200));
        }
        vm::end_all();
        let _ = std::fs::remove_dir_all(logs);
        eprintln!("the case could not run to its end");
        std::process::exit(2);
    });
}

fn run(name: &str, folder: &Path) -> io::Result<Verdict> {
    let mut stage = Stage::new()?;
    watch(stage.fleet.folder.clone());
    let played = scenes::play(name, &mut stage);
    let logs = std::fs::remove_dir_all(&stage.fleet.folder);
    let verdict = match &played {
        Ok(verdict) => format!("{verdict:?}"),
        Err(error) => format!("could not run: {error}"),
    };
    stage.record.tell(format!("verdict: {verdict}"));
    stage.record.write(folder)?;
    logs?;
    played
}
