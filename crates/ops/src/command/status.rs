//! `status`: shows in which zones the text is in force and which zones are cut off.

use std::fmt;

use serde::Serialize;
use store::StoreError;

use crate::command::diff;
use crate::config::Config;
use crate::exit::Exit;
use crate::fleet::{Fleet, ObservedVm};
use crate::output::Output;
use crate::platform::{Current, Platform};
use crate::zones::{self, HEADING, Zone};

#[derive(Debug, Serialize)]
struct Report {
    /// Whether the platform responds to this client.
    platform: PlatformState,
    /// Newest known revision, from the platform or from a daemon.
    revision: u64,
    zones: Vec<Zone>,
    vms: Vec<Vm>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum PlatformState {
    Answers,
    DoesNotAnswer,
}

#[derive(Debug, Serialize)]
struct Vm {
    name: String,
    zone: Option<String>,
    answers: bool,
    leaving: bool,
    revision: Option<u64>,
    gate_revision: Option<u64>,
    store_up: Option<bool>,
    in_flight: Option<u64>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let platform = match self.platform {
            PlatformState::Answers => "responds",
            PlatformState::DoesNotAnswer => "does not respond",
        };
        writeln!(f, "platform {platform}, newest revision {}", self.revision)?;
        writeln!(f, "{HEADING}")?;
        for zone in &self.zones {
            writeln!(f, "{zone}")?;
        }
        for vm in self.vms.iter().filter(|vm| !vm.answers) {
            let zone = vm.zone.as_deref().unwrap_or("unknown zone");
            writeln!(f, "{} in {zone} does not respond", vm.name)?;
        }
        Ok(())
    }
}

/// Shows the state of the fleet.
pub fn run(config: &Config, output: Output) -> eyre::Result<Exit> {
    let platform = Platform::new(config)?;
    let current = platform.current();
    let listed = platform.vms().unwrap_or_default();
    let vms = Fleet::new(config, &listed)?.survey(&listed);
    let exit = exit_of(current.as_ref().err(), &vms);
    output.report(&report(current.ok().as_ref(), &vms)?)?;
    Ok(exit)
}

fn exit_of(error: Option<&StoreError>, vms: &[ObservedVm]) -> Exit {
    let responded = vms.iter().any(|vm| vm.status.is_some());
    match (error, responded) {
        (Some(_), false) => Exit::Unreachable,
        _ => Exit::Done,
    }
}

fn report(current: Option<&Current>, vms: &[ObservedVm]) -> eyre::Result<Report> {
    let statuses = vms.iter().filter_map(|vm| vm.status.as_ref());
    let reported = statuses.map(|status| status.revision).max().unwrap_or(0);
    let revision = current.map_or(0, Current::revision).max(reported);
    let text = current.map(diff::in_force).transpose()?;
    let declared = text.iter().flat_map(|source| &source.text.zones);
    let names = declared.map(|zone| zone.name.as_str());
    Ok(Report {
        platform: match current {
            Some(_) => PlatformState::Answers,
            None => PlatformState::DoesNotAnswer,
        },
        revision,
        zones: zones::summarize(vms, revision, names),
        vms: vms.iter().map(vm_row).collect(),
    })
}

fn vm_row(vm: &ObservedVm) -> Vm {
    let status = vm.status.as_ref();
    Vm {
        name: vm.name(),
        zone: vm.zone().map(ToOwned::to_owned),
        answers: status.is_some(),
        leaving: vm.is_leaving(),
        revision: status.map(|status| status.revision),
        gate_revision: status.map(|status| status.gate_revision),
        store_up: status.map(|status| status.store_up),
        in_flight: status.map(|status| status.in_flight),
    }
}
