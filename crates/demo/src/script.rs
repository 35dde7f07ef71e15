//! The demonstration's phases.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::WrapErr;

use crate::caller::{Caller, Outcome};
use crate::fleet::Fleet;
use crate::report::{Row, Tally};
use crate::shape::Site;

/// Length of a phase, in milliseconds.
const PHASE_MS: u64 = 2_000;

/// Pause of a caller between two requests, in milliseconds.
const PACE_MS: u64 = 4;

/// Time within which a withdrawn key stops working and a drained backend server gets no new
/// work, in milliseconds.
const IN_FORCE_MS: u64 = 3_000;

/// Time after which a zone that is cut off no longer serves keyed requests, in milliseconds.
const STALE_MS: u64 = 4_500;

/// Longest time that a fleet needs until every gate has its view and its shares, in milliseconds.
const READY_MS: u64 = 40_000;

/// Time for which a gate has to serve without a refusal to count as ready, in milliseconds.
const SERVED_MS: u64 = 700;

/// Runs all phases and returns what callers saw.
///
/// # Errors
///
/// Fails if a step cannot be carried out.
pub async fn run(fleet: &mut Fleet) -> eyre::Result<Vec<Row>> {
    let key = fleet.operator.give("alder").await?.reveal().to_owned();
    let withdrawn = fleet.operator.give("birch").await?;
    wait_until_served(fleet, &key).await?;
    let mut rows = vec![steady(fleet, &key).await?];
    rows.push(withdrawal(fleet, &withdrawn).await?);
    rows.push(drain(fleet, &key).await?);
    rows.push(planned_stop(fleet, &key).await?);
    rows.extend(cut_off(fleet, &key).await?);
    rows.push(rejoined(fleet, &key).await?);
    rows.push(secrecy(fleet, &[&key, withdrawn.reveal()]));
    Ok(rows)
}

/// Waits until each gate has served a while without a refusal, that is, until it has its view
/// and its shares.
async fn wait_until_served(fleet: &Fleet, key: &str) -> eyre::Result<()> {
    let end = Instant::now() + Duration::from_millis(READY_MS);
    for gate in fleet.gates() {
        loop {
            let tally = call_direct(&[gate], "/reader", key, SERVED_MS).await?;
            if tally.failed() == 0 {
                break;
            }
            eyre::ensure!(
                Instant::now() < end,
                "the fleet did not become ready: {tally:?}"
            );
        }
    }
    Ok(())
}

async fn steady(fleet: &Fleet, key: &str) -> eyre::Result<Row> {
    let gates = fleet.gates();
    let tally = call("10.1.0.1", &gates, "/reader", Some(key), PHASE_MS).await?;
    Ok(row("steady", "keyed", tally, |tally| {
        unless(tally.failed() == 0, "refused")
    }))
}

async fn withdrawal(fleet: &Fleet, token: &key::Token) -> eyre::Result<Row> {
    fleet.operator.withdraw(token).await?;
    tokio::time::sleep(Duration::from_millis(IN_FORCE_MS)).await;
    let gates = fleet.gates();
    let tally = call(
        "10.1.0.1",
        &gates,
        "/reader",
        Some(token.reveal()),
        PHASE_MS,
    )
    .await?;
    Ok(row(
        "key withdrawn 3 s ago",
        "with that key",
        tally,
        |tally| unless(tally.served == 0, "withdrawn key served"),
    ))
}

async fn drain(fleet: &Fleet, key: &str) -> eyre::Result<Row> {
    let site = Site {
        service: "reader".to_owned(),
        zone: fleet.shape.zones()[0].zone.clone(),
    };
    let drained = &fleet.backends[&site][0];
    fleet.apply(&[drained.addr()]).await?;
    let gates = fleet.gates();
    let mut tally = call("10.1.0.1", &gates, "/reader", Some(key), IN_FORCE_MS).await?;
    let before = drained.runs().len();
    let after = call("10.1.0.1", &gates, "/reader", Some(key), PHASE_MS).await?;
    let new_work = drained.runs().len() - before;
    tally.merge(&after);
    fleet.apply(&[]).await?;
    Ok(row("backend server drained", "keyed", tally, |tally| {
        unless(new_work == 0, "drained server got work").or(unless(tally.failed() == 0, "refused"))
    }))
}

async fn planned_stop(fleet: &mut Fleet, key: &str) -> eyre::Result<Row> {
    let zone = fleet.shape.zones()[0].zone.clone();
    let name = format!("{zone}-vm0");
    let gates = fleet.gates();
    let own = key.to_owned();
    let callers =
        tokio::spawn(
            async move { call("10.1.0.1", &gates, "/reader", Some(&own), 3 * PHASE_MS).await },
        );
    let cut = fleet.stop_vm(&name).await?;
    let tally = callers.await.wrap_err("the callers failed")??;
    fleet.add_vm(&zone, 0).await?;
    wait_until_served(fleet, key).await?;
    Ok(row("entry VM stopped", "keyed", tally, |tally| {
        unless(cut == 0, "requests cut").or(unless(tally.failed() == 0, "disturbed"))
    }))
}

async fn cut_off(fleet: &mut Fleet, key: &str) -> eyre::Result<Vec<Row>> {
    let zones = fleet.shape.zones();
    let zone = &zones[zones.len() - 1].zone;
    let inside = gates_of(fleet, |candidate| candidate == zone);
    let outside = gates_of(fleet, |candidate| candidate != zone);
    // Callers outside go on from before the cut until the end of the phase.
    let own = key.to_owned();
    let outside_ms = PHASE_MS + STALE_MS + PHASE_MS;
    let others =
        tokio::spawn(
            async move { call("10.1.0.1", &outside, "/reader", Some(&own), outside_ms).await },
        );
    tokio::time::sleep(Duration::from_millis(PHASE_MS)).await;
    fleet.cut_zone(zone);
    tokio::time::sleep(Duration::from_millis(STALE_MS)).await;
    let client = format!("10.{}.0.1", zones.len());
    let open = call(&client, &inside, "/reader/public", None, PHASE_MS);
    let keyed = call_direct(&inside, "/reader", key, PHASE_MS);
    let (open, keyed) = tokio::join!(open, keyed);
    let others = others.await.wrap_err("the callers failed")?;
    let phase = "zone cut off";
    Ok(vec![
        row(phase, "inside, open route", open?, |tally| {
            unless(
                tally.served > 0 && tally.failed() == 0,
                "open route not served",
            )
        }),
        row(phase, "inside, keyed", keyed?, |tally| {
            unless(tally.served == 0 && tally.lost == 0, "served without proof")
        }),
        row(phase, "outside, keyed", others?, |tally| {
            unless(tally.failed() == 0, "disturbed")
        }),
    ])
}

async fn rejoined(fleet: &mut Fleet, key: &str) -> eyre::Result<Row> {
    let zones = fleet.shape.zones();
    let zone = &zones[zones.len() - 1].zone;
    fleet.join_zone(zone)?;
    wait_until_served(fleet, key).await?;
    let inside = gates_of(fleet, |candidate| candidate == zone);
    let tally = call_direct(&inside, "/reader", key, PHASE_MS).await?;
    Ok(row("zone joined again", "inside, keyed", tally, |tally| {
        unless(tally.failed() == 0, "still refused")
    }))
}

fn secrecy(fleet: &Fleet, keys: &[&str]) -> Row {
    let seen = keys.iter().any(|key| fleet.any_backend_saw(key));
    row("backend servers", "saw a key?", Tally::default(), |_| {
        unless(!seen, "a backend server saw a key")
    })
}

fn row(
    phase: &'static str,
    callers: &'static str,
    tally: Tally,
    judge: impl FnOnce(&Tally) -> Option<String>,
) -> Row {
    let broken = judge(&tally);
    Row {
        phase,
        callers,
        tally,
        broken,
    }
}

fn unless(kept: bool, broken: &str) -> Option<String> {
    (!kept).then(|| format!("BROKEN: {broken}"))
}

fn gates_of(fleet: &Fleet, belongs: impl Fn(&String) -> bool) -> Vec<SocketAddr> {
    let vms = fleet.vms.iter().filter(|vm| belongs(&vm.zone));
    vms.map(|vm| vm.gate.addr()).collect()
}

async fn call(
    client: &str,
    gates: &[SocketAddr],
    path: &str,
    key: Option<&str>,
    for_ms: u64,
) -> eyre::Result<Tally> {
    let caller = Caller::new(client, gates);
    repeat(caller, path, key, for_ms).await
}

/// Calls as callers do whose look-up ended on `gates`.
async fn call_direct(
    gates: &[SocketAddr],
    path: &str,
    key: &str,
    for_ms: u64,
) -> eyre::Result<Tally> {
    let mut caller = Caller::new("127.0.0.1", gates);
    caller.pin(gates[0]);
    repeat(caller, path, Some(key), for_ms).await
}

async fn repeat(
    mut caller: Caller,
    path: &str,
    key: Option<&str>,
    for_ms: u64,
) -> eyre::Result<Tally> {
    let path = path.to_owned();
    let key = key.map(str::to_owned);
    let work = move || {
        let end = Instant::now() + Duration::from_millis(for_ms);
        let mut tally = Tally::default();
        while Instant::now() < end {
            let start = Instant::now();
            let outcome: Outcome = caller.get(&path, key.as_deref());
            tally.add(&outcome, start.elapsed());
            std::thread::sleep(Duration::from_millis(PACE_MS));
        }
        tally
    };
    tokio::task::spawn_blocking(work)
        .await
        .wrap_err("a caller's thread failed")
}
