//! A fleet of daemons with its stand-ins.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use control::Control;
use gate::Gate;
use key::{Hasher, Token};
use rand::Rng as _;
use standin::backend::{self, Backend};
use standin::listener::Listener;
use standin::platform::{self, Platform, vm};
use timer::Service;
use wire::keyring::{Keyring, Record};
use wire::{Denylist, Pool, Secret};

use crate::operator::Operator;
use crate::shape::{Shape, Site};

/// Longest time that a control daemon may take to confirm a withdrawal, in milliseconds.
const CONFIRM_MS: u64 = 2_000;

/// An entry VM: a control daemon and a gate.
#[derive(Debug)]
pub struct EntryVm {
    /// Name of the VM.
    pub name: String,
    /// Zone of the VM.
    pub zone: String,
    /// Addresses that its daemons may dial.
    pub reach: Denylist,
    /// The gate.
    pub gate: Gate,
    /// The control daemon.
    pub control: Control,
}

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// What the fleet was built from.
    pub shape: Shape,
    /// Stand-in for the platform.
    pub platform: Platform,
    /// The platform's address for each zone.
    pub platform_by_zone: BTreeMap<String, Listener>,
    /// Stand-ins for the backend servers.
    pub backends: BTreeMap<Site, Vec<Backend>>,
    /// Entry VMs.
    pub vms: Vec<EntryVm>,
    /// The operator.
    pub operator: Operator,
    /// Zones that are cut off.
    cut_zones: BTreeSet<String>,
    secret: Secret,
}

impl Fleet {
    /// Starts a fleet on loopback and applies its text.
    ///
    /// # Errors
    ///
    /// Fails if a part cannot start or the text is not accepted.
    pub async fn start(shape: Shape) -> eyre::Result<Self> {
        let secret = Secret::new(rand::rng().random());
        let platform = Platform::start(any_port(), platform::Settings::default())?;
        let operator = Operator::new(&format!("http://{}", platform.addr()), &secret);
        let mut platform_by_zone = BTreeMap::new();
        for place in shape.zones() {
            platform_by_zone.insert(place.zone, platform.listen_also(any_port())?);
        }
        let backends = start_backends(&shape)?;
        let mut fleet = Self {
            shape,
            platform,
            platform_by_zone,
            backends,
            vms: Vec::new(),
            operator,
            cut_zones: BTreeSet::new(),
            secret,
        };
        fleet.apply(&[]).await?;
        for place in fleet.shape.zones() {
            for index in 0..fleet.shape.vms_per_zone {
                fleet.add_vm(&place.zone, index).await?;
            }
        }
        Ok(fleet)
    }

    /// Starts an entry VM and adds it to the platform's list. One in a zone that is cut off is
    /// cut off from its start.
    ///
    /// # Errors
    ///
    /// Fails if a daemon cannot start.
    pub async fn add_vm(&mut self, zone: &str, index: usize) -> eyre::Result<()> {
        self.add_vm_with_seeds(zone, index, &[]).await
    }

    /// Starts an entry VM whose settings name the control daemons `seeds`, and adds it to the
    /// platform's list.
    ///
    /// # Errors
    ///
    /// Fails if a daemon cannot start.
    pub async fn add_vm_with_seeds(
        &mut self,
        zone: &str,
        index: usize,
        seeds: &[SocketAddr],
    ) -> eyre::Result<()> {
        let name = format!("{zone}-vm{index}");
        let reach = Denylist::new();
        self.deny_cut(zone, &reach);
        let timer = Service::new();
        let mut config = control_config(&name, zone, self.platform_by_zone[zone].addr());
        config.seeds = seeds.to_vec();
        let control = Control::start(&config, self.secret.clone(), timer.clone(), reach.clone());
        let control = control.await?;
        let config = gate_config(&name, zone, control.addr());
        let gate = Gate::start(&config, self.secret.clone(), timer, reach.clone()).await?;
        let vm = EntryVm {
            name,
            zone: zone.to_owned(),
            reach,
            gate,
            control,
        };
        self.platform.register(listed(&vm, vm::State::Live));
        self.vms.push(vm);
        self.deny_all_cut();
        Ok(())
    }

    /// Applies the fleet's text with `drained` backend servers taken out of use.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not take the text.
    pub async fn apply(&self, drained: &[SocketAddr]) -> eyre::Result<u64> {
        self.operator.apply(&self.text(drained)).await
    }

    /// Writes the fleet's text with `drained` backend servers taken out of use.
    #[must_use]
    pub fn text(&self, drained: &[SocketAddr]) -> String {
        let addrs = |backends: &Vec<Backend>| backends.iter().map(Backend::addr).collect();
        let sites = self.backends.iter();
        let sites = sites.map(|(site, backends)| (site.clone(), addrs(backends)));
        self.shape.text(&sites.collect(), drained)
    }

    /// Tells the control daemon at `daemon` of a withdrawal without writing it to the platform,
    /// as the operators' client does while the platform is down.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not confirm it.
    pub async fn withdraw_at(
        &self,
        daemon: SocketAddr,
        workspace: &str,
        token: &Token,
    ) -> eyre::Result<()> {
        let hash = Hasher::new(&self.secret).hash(token.reveal().as_bytes());
        let record = Record {
            id: format!("{:08x}", rand::rng().random::<u32>()),
            workspace: workspace.to_owned(),
            hash,
            withdrawn: true,
        };
        let keyring = Keyring {
            records: vec![record],
        };
        let pool = Pool::new(self.secret.clone(), Denylist::new());
        let limit = Duration::from_millis(CONFIRM_MS);
        pool.call(daemon, limit, async |client, context| {
            client.withdraw(context, keyring).await
        })
        .await?;
        Ok(())
    }

    /// Stops an entry VM in a planned way and returns the number of requests that it cut off.
    ///
    /// # Errors
    ///
    /// Fails if there is no such VM.
    pub async fn stop_vm(&mut self, name: &str) -> eyre::Result<u64> {
        let index = self.vms.iter().position(|vm| vm.name == name);
        let index = index.ok_or_else(|| eyre::eyre!("there is no VM {name}"))?;
        let vm = self.vms.remove(index);
        self.platform.register(listed(&vm, vm::State::Leaving));
        let cut = vm.gate.stop().await;
        vm.control.stop().await;
        self.platform.deregister(name);
        Ok(cut)
    }

    /// Ends an entry VM at once, without any word, and takes it off the platform's list.
    ///
    /// # Errors
    ///
    /// Fails if there is no such VM.
    pub async fn kill_vm(&mut self, name: &str) -> eyre::Result<()> {
        let index = self.vms.iter().position(|vm| vm.name == name);
        let index = index.ok_or_else(|| eyre::eyre!("there is no VM {name}"))?;
        let vm = self.vms.remove(index);
        vm.gate.kill();
        vm.control.kill().await;
        self.platform.deregister(name);
        Ok(())
    }

    /// Cuts a zone off from the platform and from the other zones.
    pub fn cut_zone(&mut self, zone: &str) {
        self.platform_by_zone[zone].cut();
        self.cut_zones.insert(zone.to_owned());
        self.deny_all_cut();
    }

    /// Joins a zone that was cut off to the rest again.
    ///
    /// # Errors
    ///
    /// Fails if the platform's address for the zone cannot be bound again.
    pub fn join_zone(&mut self, zone: &str) -> eyre::Result<()> {
        self.platform_by_zone[zone].restore()?;
        self.cut_zones.remove(zone);
        for vm in &self.vms {
            vm.reach.allow_all();
        }
        self.deny_all_cut();
        Ok(())
    }

    /// Returns whether any backend server saw `text`.
    #[must_use]
    pub fn any_backend_saw(&self, text: &str) -> bool {
        let mut backends = self.backends.values().flatten();
        backends.any(|backend| backend.saw(text))
    }

    /// Returns the gates' addresses.
    #[must_use]
    pub fn gates(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(|vm| vm.gate.addr()).collect()
    }

    fn deny_all_cut(&self) {
        for vm in &self.vms {
            self.deny_cut(&vm.zone, &vm.reach);
        }
    }

    /// Denies a VM in `zone` everything that a cut parts it from.
    fn deny_cut(&self, zone: &str, reach: &Denylist) {
        for cut in &self.cut_zones {
            let is_inside = zone == cut;
            reach.deny(self.addrs(|candidate| (candidate == cut) != is_inside));
        }
    }

    fn addrs(&self, belongs: impl Fn(&str) -> bool) -> Vec<SocketAddr> {
        let vms = self.vms.iter().filter(|vm| belongs(&vm.zone));
        let mut addrs: Vec<SocketAddr> = vms.map(|vm| vm.control.addr()).collect();
        let sites = self.backends.iter().filter(|(site, _)| belongs(&site.zone));
        addrs.extend(sites.flat_map(|(_, backends)| backends.iter().map(Backend::addr)));
        addrs
    }
}

fn start_backends(shape: &Shape) -> eyre::Result<BTreeMap<Site, Vec<Backend>>> {
    let mut backends = BTreeMap::new();
    for place in shape.zones() {
        for service in &shape.services {
            let settings = |index: usize| backend::Settings {
                name: format!("{}-{}-{index}", service.name, place.zone),
                service: service.name.to_owned(),
                slots: service.slots as usize,
                service_time: Duration::from_millis(service.service_time_ms),
                ..backend::Settings::default()
            };
            let start = |index| Backend::start(any_port(), settings(index));
            let started = (0..service.per_zone).map(start);
            let site = Site {
                service: service.name.to_owned(),
                zone: place.zone.clone(),
            };
            backends.insert(site, started.collect::<eyre::Result<_>>()?);
        }
    }
    Ok(backends)
}

fn control_config(name: &str, zone: &str, platform: SocketAddr) -> control::Config {
    control::Config {
        vm: name.to_owned(),
        zone: zone.to_owned(),
        peer: any_port(),
        platform: format!("http://{platform}"),
        seeds: Vec::new(),
        secret_file: "unused".into(),
        log_level: "off".to_owned(),
    }
}

fn gate_config(name: &str, zone: &str, control: SocketAddr) -> gate::Config {
    gate::Config {
        vm: name.to_owned(),
        zone: zone.to_owned(),
        listen: any_port(),
        control,
        secret_file: "unused".into(),
        log_level: "off".to_owned(),
        metrics: None,
        limits: gate::Limits::default(),
        shutdown_ms: 10_000,
    }
}

fn listed(vm: &EntryVm, state: vm::State) -> vm::Vm {
    vm::Vm {
        id: vm.name.clone(),
        name: "entry".to_owned(),
        address: vm.gate.addr().ip().to_string(),
        port: vm.gate.addr().port(),
        meta: vm::Meta {
            zone: vm.zone.clone(),
            peer: vm.control.addr().to_string(),
            gate: vm.gate.addr().to_string(),
            state,
        },
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
