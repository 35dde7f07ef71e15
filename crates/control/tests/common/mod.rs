//! Control daemons of several zones in one process, with a stand-in for the platform.

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

/// Longest time that a test waits for something, in seconds.
pub const PATIENCE_S: u64 = 30;

/// A control daemon with what can be done to it.
pub struct Daemon {
    pub name: String,
    pub zone: String,
    pub reach: Denylist,
    pub control: Control,
}

/// Control daemons with their platform.
pub struct Cluster {
    pub platform: Platform,
    pub listeners: BTreeMap<String, Listener>,
    pub daemons: Vec<Daemon>,
    pub secret: Secret,
    pub pool: Pool,
    runs: usize,
}

impl Cluster {
    /// Starts `per_zone` daemons in each of `zones` zones.
    pub async fn start(zones: usize, per_zone: usize) -> Self {
        event::init("off").expect("a known level");
        let platform = Platform::start(any_port(), Settings::default()).expect("a platform");
        let secret = Secret::new([7; 32]);
        let mut cluster = Self {
            platform,
            listeners: BTreeMap::new(),
            daemons: Vec::new(),
            pool: Pool::new(secret.clone(), Denylist::new()),
            secret,
            runs: 0,
        };
        for zone in 0..zones {
            let zone = format!("z{zone}");
            let listener = cluster
                .platform
                .listen_also(any_port())
                .expect("an address");
            cluster.listeners.insert(zone.clone(), listener);
            for vm in 0..per_zone {
                cluster.add(&format!("{zone}-vm{vm}"), &zone, &[]).await;
            }
        }
        cluster
    }

    /// Starts a daemon and lists it.
    pub async fn add(&mut self, name: &str, zone: &str, seeds: &[SocketAddr]) {
        self.runs += 1;
        let reach = Denylist::new();
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
        let control = Control::start(&config, secret, Service::new(), reach.clone()).await;
        let control = control.expect("the daemon starts");
        self.list(name, zone, control.addr());
        self.daemons.push(Daemon {
            name: name.to_owned(),
            zone: zone.to_owned(),
            reach,
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

    /// Ends a daemon without a goodbye: its lease runs on, and it answers nobody.
    pub async fn kill(&mut self, name: &str) {
        let index = self.daemons.iter().position(|daemon| daemon.name == name);
        let daemon = self.daemons.remove(index.expect("a daemon"));
        daemon.control.kill().await;
    }

    /// Cuts a zone off from the platform and from the other zones.
    pub fn cut(&self, zone: &str) {
        self.listeners[zone].cut();
        for daemon in &self.daemons {
            let cut = self
                .daemons
                .iter()
                .filter(|other| (other.zone == zone) != (daemon.zone == zone));
            daemon.reach.deny(cut.map(|other| other.control.addr()));
        }
    }

    /// Joins a zone that was cut off.
    pub fn join(&self, zone: &str) {
        self.listeners[zone].restore().expect("the address is free");
        for daemon in &self.daemons {
            daemon.reach.allow_all();
        }
    }

    /// Returns what the daemons say of themselves.
    pub fn statuses(&self) -> Vec<Status> {
        self.daemons
            .iter()
            .map(|daemon| daemon.control.status())
            .collect()
    }

    /// Waits until all daemons satisfy `holds`, and returns the time that took.
    pub async fn until(&self, what: &str, holds: impl Fn(&Status) -> bool) -> Duration {
        let begun = Instant::now();
        while !self.statuses().iter().all(&holds) {
            assert!(
                begun.elapsed() < Duration::from_secs(PATIENCE_S),
                "not all daemons: {what}: {:#?}",
                self.statuses()
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        begun.elapsed()
    }

    /// Waits until all zones have a lead and all daemons know all others.
    pub async fn settle(&self) {
        let count = self.daemons.len();
        self.until("settled", |status| {
            status.zone_leader.is_some() && status.entries.len() == count
        })
        .await;
    }

    /// Returns a client of the platform that no zone's cut concerns.
    pub fn client(&self) -> Client {
        Client::new(&format!("http://{}", self.platform.addr()))
    }

    /// Writes a text as revision `revision`.
    pub async fn write_text(&self, revision: u64, text: &str) {
        let client = self.client();
        let record = config_record(revision, text);
        let written = tokio::task::spawn_blocking(move || {
            let found = client.watch::<ConfigRecord>(CONFIG_KEY, 1, 10)?;
            client.compare_and_set(CONFIG_KEY, found.version, &record)
        });
        written
            .await
            .expect("no panic")
            .expect("the platform answers");
    }

    /// Writes key records to the platform, in place of those of the same shard.
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
            .expect("no panic")
            .expect("the platform answers");
    }

    /// Sends a withdrawal straight to one daemon.
    pub async fn withdraw_at(&self, addr: SocketAddr, record: Record) {
        let keyring = Keyring {
            records: vec![record],
        };
        let call = self
            .pool
            .call(addr, Duration::from_secs(2), async |client, context| {
                client.withdraw(context, keyring).await
            });
        call.await.expect("the daemon answers");
    }

    /// Returns the key records that a daemon has.
    pub async fn keys_of(&self, addr: SocketAddr) -> Vec<Record> {
        let ask = Request {
            digests: Some(Digests::default()),
            ..Request::default()
        };
        let call = self
            .pool
            .call(addr, Duration::from_secs(2), async |client, context| {
                client.sync(context, ask).await
            });
        call.await
            .expect("the daemon answers")
            .keys
            .unwrap_or_default()
            .records
    }
}

/// Returns a record of the text.
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

/// A text that can be read.
pub const TEXT: &str = include_str!("../../../text/tests/base.toml");

/// Returns loopback with a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
