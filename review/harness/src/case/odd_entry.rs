//! An entry of another writer among the registrations, and changes after it.

use std::thread;
use std::time::Duration;

use super::config;
use crate::caller::{Answer, Caller, request};
use crate::server::{Server, well};
use crate::store::Store;
use crate::vm::{Place, Vm};
use crate::{Problem, Setting, Verdict};

/// An entry of another writer: its service is named in no configuration. The time is the largest number of
/// seconds that a signed 64-bit integer holds.
const ODD: &str = r#"{"service":"batch-jobs","address":"127.0.0.1:9","zone":"north-a","version":"v1","slots":4,"state":"ready","warmup_left":"9223372036854775807s","sequence":1,"born":1700000000000}"#;

/// Time from an acknowledgement until a request is sent; the bound is 2 s.
const AFTER_CHANGE: Duration = Duration::from_secs(6);

/// Time for which a restarted VM is asked whether it is ready; the bound for recovery is 15 s.
const AFTER_RESTART: Duration = Duration::from_secs(16);

pub fn play(setting: &Setting) -> Result<Verdict, Problem> {
    let record = &setting.record;
    let store = Store::start(setting.ip(1), record)?;
    store.put("op/config", config(1, "k1"));
    let server = Server::start("i-1", setting.ip(10), record, |request| {
        well(request.attempt(), Duration::from_millis(20))
    })?;
    server.register(&store, "records", "north-a", 1, 0);
    let place = |name, zone, number| Place {
        name,
        zone,
        region: "north",
        ip: setting.ip(number),
        store: store.addr,
        seeds: vec![setting.ip(20), setting.ip(21)],
    };
    let mut vm = Vm::start(&place("front-1", "north-a", 20), &setting.folder, record)?;
    let other = Vm::start(&place("front-2", "north-b", 21), &setting.folder, record)?;
    if !vm.wait_ready(Duration::from_secs(15)) || !other.wait_ready(Duration::from_secs(15)) {
        return Err("the entry VMs are not ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    if setting.has_trouble {
        record.note(format!("store: another writer puts servers/batch-1: {ODD}"));
        store.put("servers/batch-1", ODD);
    }
    thread::sleep(Duration::from_secs(2));
    record.note("operator: version 2 takes the key k1 away");
    store.put("op/config", config(2, "k2"));
    thread::sleep(AFTER_CHANGE);
    let mut ran = 0;
    for vm in [&vm, &other] {
        let mut caller = Caller::connect(vm.caller_addr())?;
        let id = format!("after-{}", vm.name);
        let answer = caller.call(
            &request("POST", "/pay/1", &id, "1", 3_000, "pay"),
            Duration::from_secs(4),
        );
        record.note(format!("{}: {id} with the key k1: {answer:?}", vm.name));
        ran += u32::from(matches!(answer, Answer::Complete { status: 200, .. }));
    }
    for vm in [&vm, &other] {
        for line in vm.log().lines().filter(|line| line.contains("overflow")) {
            record.note(format!("{}: log: {line}", vm.name));
        }
    }
    // Not part of the verdict: what a restart does.
    vm.signal("KILL");
    while !vm.has_exited() {
        thread::sleep(Duration::from_millis(10));
    }
    vm.restart()?;
    vm.wait_ready(AFTER_RESTART);
    record.note(format!(
        "{ran} of 2 entry VMs ran a payment with the key that was taken away"
    ));
    Ok(if ran > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
