//! Cluster of control daemons of several zones in one process, with an emulated platform.

// Each test program uses a part of this module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use control::{Config, Control};
use standin::listener::Listener;
use standin::platform::{Meta, Platform, Settings, State, Vm};
use store::{CONFIG_KEY, Client, ConfigRecord, KeysRecord, keys_key};
use timer::Service;
use wire::keyring::{Keyring, Record};
use wire::status::Status;
use wire::sync::{Digests, Request};
use wire::{Denylist, Pool, Secret};

/// Timeout for conditions that a test waits for, in seconds.
pub const TIMEOUT_S: u64 = 30;

/// A running control daemon and its denylist.
pub struct Daemon {
    pub name: String,
    pub zone: String,
    pub denylist: Denylist,
    pub control: Control,
}

/// Control daemons and their platform.
pub struct Cluster {
    pub platform: Platform,
    pub listeners: BTreeMap<String, Listener>,
    pub daemons: Vec<Daemon>,
    pub secret: Secret,
    pub pool: Pool,
    starts: usize,
}

impl Cluster {
    /// Starts `per_zone` daemons in each of `zones` zones.
    pub async fn start(zones: usize, per_zone: usize) -> Self {
        event::init("off").expect("valid log level");
        let platform = Platform::start(any_port(), Settings::default()).expect("platform starts");
        let secret = Secret::new([7; 32]);
        let mut cluster = Self {
            platform,
            listeners: BTreeMap::new(),
            daemons: Vec::new(),
            pool: Pool::new(secret.clone(), Denylist::new()),
            secret,
            starts: 0,
        };
        for zone in 0..zones {
            let zone = format!("z{zone}");
            let listener = cluster
                .platform
                .listen_also(any_port())
                .expect("platform listens on another address");
            cluster.listeners.insert(zone.clone(), listener);
            for vm in 0..per_zone {
                cluster.add(&format!("{zone}-vm{vm}"), &zone, &[]).await;
            }
        }
        cluster
    }

    /// Starts a daemon and adds its VM to the platform's list.
    pub async fn add(&mut self, name: &str, zone: &str, seeds: &[SocketAddr]) {
        self.starts += 1;
        let denylist = Denylist::new();
        let config = Config {
            vm: name.to_owned(),
            zone: zone.to_owned(),
            peer: any_port(),
            platform: format!("http://{}", self.listeners[zone].addr()),
            seeds: seeds.to_vec(),
            secret_file: "unused".into(),
            log_level: "off".to_owned(),
        };
        let secret = self.secret.clone();
        let control = Control::start(&config, secret, Service::new(), denylist.clone()).await;
        let control = control.expect("daemon starts");
        self.list(name, zone, control.addr());
        self.daemons.push(Daemon {
            name: name.to_owned(),
            zone: zone.to_owned(),
            denylist,
            control,
        });
    }

    /// Adds a VM to the platform's list.
    pub fn list(&self, name: &str, zone: &str, addr: SocketAddr) {
        self.platform.register(Vm {
            id: name.to_owned(),
            name: "entry".to_owned(),
            address: addr.ip().to_string(),
            port: addr.port(),
            meta: Meta {
                zone: zone.to_owned(),
                peer: addr.to_string(),
                gate: addr.to_string(),
                state: State::Live,
            },
        });
    }

    /// Stops a daemon as a crash would: its leases are not released and it no longer responds.
    pub async fn kill(&mut self, name: &str) {
        let index = self.daemons.iter().position(|daemon| daemon.name == name);
        let daemon = self.daemons.remove(index.expect("daemon exists"));
        daemon.control.kill().await;
    }

    /// Partitions a zone from the platform and from the other zones.
    pub fn partition(&self, zone: &str) {
        self.listeners[zone].cut();
        for daemon in &self.daemons {
            let unreachable = self
                .daemons
                .iter()
                .filter(|other| (other.zone == zone) != (daemon.zone == zone));
            daemon
                .denylist
                .deny(unreachable.map(|other| other.control.addr()));
        }
    }

    /// Heals the partition of a zone.
    pub fn heal(&self, zone: &str) {
        self.listeners[zone]
            .restore()
            .expect("platform listens again");
        for daemon in &self.daemons {
            daemon.denylist.allow_all();
        }
    }

    /// Returns the status of each daemon.
    pub fn statuses(&self) -> Vec<Status> {
        self.daemons
            .iter()
            .map(|daemon| daemon.control.status())
            .collect()
    }

    /// Waits until all daemons satisfy `condition`, and returns the elapsed time.
    pub async fn wait_until(
        &self,
        description: &str,
        condition: impl Fn(&Status) -> bool,
    ) -> Duration {
        let start = Instant::now();
        while !self.statuses().iter().all(&condition) {
            assert!(
                start.elapsed() < Duration::from_secs(TIMEOUT_S),
                "not satisfied by all daemons: {description}: {:#?}",
                self.statuses()
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        start.elapsed()
    }

    /// Waits until all zones have a leader and all daemons know all others.
    pub async fn settle(&self) {
        let count = self.daemons.len();
        self.wait_until("leaders and lists of VMs", |status| {
            status.zone_leader.is_some() && status.entries.len() == count
        })
        .await;
    }

    /// Returns a client of the platform that is not affected by partitions.
    pub fn client(&self) -> Client {
        Client::new(&format!("http://{}", self.platform.addr()))
    }

    /// Writes a configuration as revision `revision`.
    pub async fn write_text(&self, revision: u64, text: &str) {
        let client = self.client();
        let record = config_record(revision, text);
        let written = tokio::task::spawn_blocking(move || {
            let found = client.watch::<ConfigRecord>(CONFIG_KEY, 1, 10)?;
            client.compare_and_set(CONFIG_KEY, found.version, &record)
        });
        written
            .await
            .expect("task does not panic")
            .expect("platform responds");
    }

    /// Writes a key record to the platform, replacing the records of its shard.
    pub async fn write_key(&self, record: Record) {
        let client = self.client();
        let written = tokio::task::spawn_blocking(move || {
            let key = keys_key(&record.hash);
            let found = client.watch::<KeysRecord>(&key, 1, 10)?;
            let records = vec![record];
            client.compare_and_set(&key, found.version, &KeysRecord { records })
        });
        written
            .await
            .expect("task does not panic")
            .expect("platform responds");
    }

    /// Sends a withdrawal directly to one daemon.
    pub async fn withdraw_at(&self, addr: SocketAddr, record: Record) {
        let keyring = Keyring {
            records: vec![record],
        };
        let call = self
            .pool
            .call(addr, Duration::from_secs(2), async |client, context| {
                client.withdraw(context, keyring).await
            });
        call.await.expect("daemon responds");
    }

    /// Returns the key records of a daemon.
    pub async fn keys_of(&self, addr: SocketAddr) -> Vec<Record> {
        let request = Request {
            digests: Some(Digests::default()),
            ..Request::default()
        };
        let call = self
            .pool
            .call(addr, Duration::from_secs(2), async |client, context| {
                client.sync(context, request).await
            });
        call.await
            .expect("daemon responds")
            .keys
            .unwrap_or_default()
            .records
    }
}

/// Returns a record of a configuration.
pub fn config_record(revision: u64, text: &str) -> ConfigRecord {
    ConfigRecord {
        revision,
        write_id: format!("w{revision}"),
        author: "tester".to_owned(),
        at_unix_ms: 0,
        text: text.to_owned(),
    }
}

/// Returns the record of key number `number`.
pub fn key_record(number: u8, withdrawn: bool) -> Record {
    Record {
        id: format!("k{number}"),
        workspace: "acme".to_owned(),
        hash: [number; 32],
        withdrawn,
    }
}

/// A valid configuration.
pub const TEXT: &str = include_str!("../../../text/tests/base.toml");

/// Returns the loopback address with a port chosen by the system.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
