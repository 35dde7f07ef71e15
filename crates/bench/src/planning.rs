//! Measures planning time, plan size and peak memory.

use std::fmt::Write as _;
use std::time::Instant;

use plan::{Demand, Grant, Input, Observation, Plan, decide};
use text::Text;
use timer::Moment;

use crate::fleet::number;

/// Number of plans over which the time is averaged.
const ROUNDS: u32 = 20;

const SERVICES: usize = 4;

/// Runs the measurements and prints the table.
pub fn run() -> eyre::Result<()> {
    println!("| regions | zones | sites | first plan ms | next plan ms | shares in the plan |");
    println!("|---|---|---|---|---|---|");
    for (regions, zones, sites) in [
        (3, 6, 60),
        (13, 19, 370),
        (13, 38, 100),
        (13, 38, 370),
        (13, 38, 740),
        (13, 76, 370),
    ] {
        println!("{}", row(regions, zones, sites)?);
    }
    println!("peak resident memory: {}", peak_memory()?);
    Ok(())
}

/// Returns the peak resident memory of the process as reported by the operating system.
fn peak_memory() -> eyre::Result<String> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    Ok(peak.unwrap_or("unknown").trim().to_owned())
}

fn row(regions: usize, zones: usize, sites: usize) -> eyre::Result<String> {
    let source = source(regions, zones)?;
    let text = text::parse(&source).map_err(|problems| eyre::eyre!("{problems:?}"))?;
    let now = Moment(100_000);
    let (demand, observations, grants) = inputs(&text, sites, now);
    let input = Input {
        text: &text,
        demand: &demand,
        observations: &observations,
        grants: &grants,
        partitions: &[],
        pending: &[],
        shift_share: 1.0,
        previous: None,
        now,
    };
    let (first, first_ms) = timed(input);
    let remaining: Vec<Grant> = grants
        .iter()
        .filter(|grant| grant.zone != "zone-0")
        .cloned()
        .collect();
    let next = Input {
        grants: &remaining,
        previous: Some(&first),
        now: now.plus_ms(1_000),
        ..input
    };
    let (plan, next_ms) = timed(next);
    let routes = plan
        .services
        .values()
        .flat_map(|placement| placement.sources.values());
    let shares: usize = routes.map(|route| route.shares.len()).sum();
    Ok(format!(
        "| {regions} | {zones} | {sites} | {first_ms:.2} | {next_ms:.2} | {shares} |"
    ))
}

fn timed(input: Input) -> (Plan, f64) {
    let mut plan = decide(input);
    let start = Instant::now();
    for _ in 0..ROUNDS {
        plan = decide(input);
    }
    (
        plan,
        start.elapsed().as_secs_f64() * 1_000.0 / f64::from(ROUNDS),
    )
}

fn source(regions: usize, zones: usize) -> eyre::Result<String> {
    let mut text = String::from("name = \"planning\"\n");
    for region in 0..regions {
        writeln!(text, "[[region]]\nname = \"region-{region}\"")?;
    }
    for zone in 0..zones {
        let region = zone % regions;
        writeln!(
            text,
            "[[zone]]\nname = \"zone-{zone}\"\nregion = \"region-{region}\""
        )?;
    }
    for a in 0..regions {
        for b in a + 1..regions {
            let rtt = 5 + (a * 7 + b * 3) % 40;
            writeln!(text, "[[link]]\nbetween = [\"region-{a}\", \"region-{b}\"]")?;
            writeln!(text, "mbit_per_s = 4000\nrtt_ms = {rtt}.0")?;
        }
    }
    for service in 0..SERVICES {
        let needs = if service > 0 { "\"service-0\"" } else { "" };
        writeln!(text, "[[service]]\nname = \"service-{service}\"\nslots = 6")?;
        writeln!(text, "depends_on = [{needs}]\ncold_start_s = 20")?;
        writeln!(
            text,
            "[[route]]\npath = \"/{service}\"\nmethods = [\"GET\"]"
        )?;
        writeln!(
            text,
            "service = \"service-{service}\"\naccess = \"open\"\nrepeat = \"safe\""
        )?;
        for zone in 0..zones {
            writeln!(
                text,
                "[[backend]]\nservice = \"service-{service}\"\nzone = \"zone-{zone}\""
            )?;
            let addr = |n: usize| format!("\"10.{service}.{zone}.{n}:80\"");
            writeln!(text, "addrs = [{}, {}]", addr(1), addr(2))?;
        }
    }
    Ok(text)
}

fn inputs(text: &Text, sites: usize, at: Moment) -> (Vec<Demand>, Vec<Observation>, Vec<Grant>) {
    let (mut demand, mut observations, mut grants) = (Vec::new(), Vec::new(), Vec::new());
    for service in &text.services {
        for site in 0..sites {
            demand.push(Demand {
                service: service.name.clone(),
                zone: text.zones[site * site % text.zones.len()].name.clone(),
                per_s: 60.0 * number(text.zones.len()) / number(sites),
                request_bytes: 2_000.0,
                response_bytes: 20_000.0,
                at,
            });
        }
        for zone in &text.zones {
            observations.push(Observation {
                service: service.name.clone(),
                zone: zone.name.clone(),
                slots: 12,
                reachable_slots: 12,
                service_time_ms: 50.0,
                answered: 100,
                failed: 0,
                at,
            });
            grants.push(Grant {
                service: service.name.clone(),
                zone: zone.name.clone(),
                slots: 12.0,
            });
        }
    }
    (demand, observations, grants)
}
