//! Commands that query the daemons.

mod testenv;

use serde_json::Value;
use standin::platform::Outage;
use testenv::{Env, TEXT, ZONES};

/// Returns the entry of a zone in the report.
fn zone<'r>(report: &'r Value, name: &str) -> &'r Value {
    let zones = report["zones"].as_array().expect("the report has zones");
    let zone = zones.iter().find(|zone| zone["name"] == name);
    zone.unwrap_or(&Value::Null)
}

fn all_in_force(report: &Value) -> bool {
    let mut zones = ZONES.iter();
    zones.all(|name| zone(report, name)["progress"] == "in-force")
}

#[test]
fn apply_waits_until_text_is_in_force_in_every_zone() {
    let env = Env::new();
    let file = env.files.write("1.toml", TEXT);
    let ran = env.run(&["apply", &file, "--wait", "--json"]).expect(0);
    assert!(
        ran.stderr.contains("revision 1: in force in 2 of 2 zones"),
        "{ran:#?}"
    );
    assert!(all_in_force(&ran.json()), "{ran:#?}");
    let report = env.run(&["status", "--json"]).expect(0).json();
    assert_eq!(report["platform"], "answers");
    assert!(all_in_force(&report), "{report}");
    assert_eq!(zone(&report, "sch-a")["progress"], "empty");
}

#[test]
fn apply_and_status_name_partitioned_zone() {
    let env = Env::new();
    let first = env.files.write("1.toml", TEXT);
    env.run(&["apply", &first, "--wait"]).expect(0);
    env.partition(1);
    env.run_until(&["status"], |report| {
        zone(report, ZONES[1])["reaching_platform"] == 0
    });
    let second = env
        .files
        .write("2.toml", &TEXT.replacen("slots = 6", "slots = 5", 1));
    let ran = env
        .run(&["apply", &second, "--wait", "--wait-limit-s", "3"])
        .expect(6);
    assert!(
        ran.stderr
            .contains("in force in 1 of 2 zones; ndb-a cut off"),
        "{ran:#?}"
    );
    let ran = env.run(&["status"]).expect(0);
    assert!(
        ran.stdout
            .lines()
            .any(|line| line.starts_with("ndb-a") && line.contains("cut off")),
        "{ran:#?}"
    );
}

#[test]
fn keys_are_issued_listed_and_withdrawn() {
    let env = Env::new();
    env.apply(TEXT);
    let ran = env.run(&["key", "give", "members-ap"]).expect(1);
    assert!(
        ran.stderr.contains("has no workspace \"members-ap\""),
        "{ran:#?}"
    );
    let issued = env
        .run(&["key", "give", "members-app", "--json"])
        .expect(0)
        .json();
    let (id, key) = (
        issued["id"].as_str().expect("the id is a string"),
        issued["key"].as_str().expect("the key is a string"),
    );
    let second = env
        .run(&["key", "give", "water-lab", "--json"])
        .expect(0)
        .json();
    let second = second["key"].as_str().expect("the key is a string");
    let list = env.run(&["key", "list"]).expect(0).stdout;
    assert!(
        list.contains(&format!("{id}  valid      members-app")),
        "{list}"
    );
    assert!(!list.contains(key) && !list.contains(&key[3..]), "{list}");
    let ran = env.run(&["key", "withdraw", id]).expect(0);
    assert!(
        ran.stdout.contains("withdrawn at 2 of 2 daemons"),
        "{ran:#?}"
    );
    let ran = env
        .run(&["key", "withdraw", second, "--json"])
        .expect(0)
        .json();
    assert_eq!(ran["recorded"], true);
    assert_eq!(ran["workspace"], "water-lab");
    let list = env.run(&["key", "list", "--json"]).expect(0).json();
    let keys = list["keys"].as_array().expect("the report has keys");
    assert!(keys.iter().all(|key| key["withdrawn"] == true), "{list}");
    env.run(&["key", "withdraw", "k0000"]).expect(1);
    env.run(&["key", "withdraw", "td_0000"]).expect(1);
}

#[test]
fn key_is_withdrawn_during_platform_outage() {
    let env = Env::new();
    env.apply(TEXT);
    let issued = env
        .run(&["key", "give", "members-app", "--json"])
        .expect(0)
        .json();
    let (id, key) = (
        issued["id"].as_str().expect("the id is a string"),
        issued["key"].as_str().expect("the key is a string"),
    );
    env.run(&["key", "give", "members-app"]).expect(0);
    env.platform.faults().set_outage(Outage::Close);
    let daemon = env.entries[0].peer.to_string();
    let ran = env
        .run(&["key", "withdraw", key, "--daemon", &daemon, "--json"])
        .expect(6);
    let report = ran.json();
    assert_eq!(report["recorded"], false);
    let daemons = report["daemons"]
        .as_array()
        .expect("the report has daemons");
    assert_eq!(
        daemons.len(),
        2,
        "the first daemon names the second: {report}"
    );
    assert!(
        daemons.iter().all(|daemon| daemon["confirmed"] == true),
        "{report}"
    );
    env.platform.faults().clear();
    env.run(&["key", "withdraw", id]).expect(0);
    let list = env.run(&["key", "list"]).expect(0).stdout;
    assert!(list.contains(&format!("{id}  withdrawn")), "{list}");
    assert_eq!(list.matches("  valid").count(), 1, "{list}");
}

#[test]
fn daemons_do_not_respond_to_wrong_secret() {
    let env = Env::new();
    env.apply(TEXT);
    let secret = env.files.write("other", &"b".repeat(64));
    let ran = env
        .run(&["status", "--secret-file", &secret, "--json"])
        .expect(0);
    assert_eq!(zone(&ran.json(), ZONES[0])["progress"], "unreachable");
    env.platform.faults().set_outage(Outage::Refuse);
    let daemon = env.entries[0].peer.to_string();
    env.run(&["status", "--secret-file", &secret, "--daemon", &daemon])
        .expect(5);
}

#[test]
fn explain_shows_where_requests_go() {
    let env = Env::new();
    let file = env.files.write("1.toml", TEXT);
    env.run(&["apply", &file, "--wait"]).expect(0);
    let args = [
        "explain",
        "--client",
        "10.97.1.1",
        "--service",
        "payments",
        "--workspace",
        "water-lab",
    ];
    let report = env.run(&[&args[..], &["--json"]].concat()).expect(0).json();
    assert_eq!(report["nearest_zone"], "ndb-a");
    assert_eq!(report["entry_vms"][0]["name"], "vm-ndb-a");
    assert_eq!(report["entry_vms"][1]["distance"], "elsewhere");
    assert_eq!(report["serving_zones"][0]["zone"], "ndb-a");
    assert_eq!(report["serving_zones"][0]["slots"], 8);
    assert_eq!(report["serving_zones"][1]["zone"], "ndb-b");
    env.run(&["drain", "zone", "ndb-a", "--wait"]).expect(0);
    let ran = env.run(&args).expect(0);
    assert!(
        ran.stdout
            .contains("in ndb-a, same zone (not used: its zone drains)"),
        "{ran:#?}"
    );
    assert!(
        ran.stdout.contains("water-lab may send 6 requests/s"),
        "{ran:#?}"
    );
}
