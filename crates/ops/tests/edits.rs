//! Edits of the text in force and its history.

mod testenv;

use std::thread;
use std::time::Duration;

use standin::platform::{Faults, Loss, Outage};
use testenv::{Env, Ran, TEXT};

/// Returns [`TEXT`] with `rate` as the rate of one workspace.
fn with_rate(rate: u32) -> String {
    TEXT.replacen("rate = 160.0", &format!("rate = {rate}.0"), 1)
}

/// Returns the revisions in the history with their write ids, newest first.
fn revisions(env: &Env) -> Vec<(u64, String)> {
    let report = env.run(&["history", "--json"]).expect(0).json();
    let revisions = report["revisions"]
        .as_array()
        .expect("the report has revisions")
        .clone();
    let revisions = revisions.iter();
    revisions
        .map(|entry| {
            let revision = entry["revision"]
                .as_u64()
                .expect("the entry has a revision");
            let write_id = entry["write_id"]
                .as_str()
                .expect("the write id is a string");
            (revision, write_id.to_owned())
        })
        .collect()
}

#[test]
fn applied_text_is_shown_and_listed_in_history() {
    let env = Env::without_entries();
    let first = env.files.write("1.toml", TEXT);
    let ran = env.run(&["apply", &first]).expect(0);
    assert!(
        ran.stdout.contains("\n+ workspace members-app\n"),
        "{ran:#?}"
    );
    assert!(ran.stdout.ends_with("accepted as revision 1\n"), "{ran:#?}");
    let ran = env.run(&["apply", &first]).expect(0);
    assert_eq!(ran.stdout, "revision 1 is this text already\n");
    let second = env.files.write("2.toml", &with_rate(80));
    let report = env.run(&["apply", &second, "--json"]).expect(0).json();
    assert_eq!(report["outcome"], "accepted");
    assert_eq!(report["revision"], 2);
    assert_eq!(report["changes"].as_array().map(Vec::len), Some(1));
    let shown = env.run(&["show"]).expect(0).stdout;
    assert_eq!(
        shown,
        format!("# teaseldoor: revision 2\n{}", with_rate(80))
    );
    let shown = env.run(&["show", "1"]).expect(0).stdout;
    assert_eq!(shown, format!("# teaseldoor: revision 1\n{TEXT}"));
    let listed: Vec<u64> = revisions(&env)
        .into_iter()
        .map(|(number, _)| number)
        .collect();
    assert_eq!(listed, [2, 1]);
    env.run(&["show", "7"]).expect(1);
}

#[test]
fn invalid_text_is_not_written() {
    let env = Env::without_entries();
    env.apply(TEXT);
    let broken = env.files.write("b.toml", &with_rate(0));
    let ran = env.run(&["apply", &broken]).expect(3);
    assert!(ran.stdout.contains("rate of workspace"), "{ran:#?}");
    assert_eq!(revisions(&env).len(), 1);
}

#[test]
fn second_edit_of_same_revision_conflicts_and_shows_both_changes() {
    let env = Env::without_entries();
    env.apply(TEXT);
    let shown = env.run(&["show"]).expect(0).stdout;
    let mine = env.files.write(
        "mine.toml",
        &shown.replacen("rate = 160.0", "rate = 80.0", 1),
    );
    let theirs = env
        .files
        .write("theirs.toml", &shown.replacen("slots = 6", "slots = 5", 1));
    env.run(&["apply", &theirs, "--author", "her"]).expect(0);
    let ran = env.run(&["apply", &mine]).expect(4);
    assert!(
        ran.stdout
            .contains("edited from revision 1, but revision 2 by her"),
        "{ran:#?}"
    );
    assert!(
        ran.stdout.contains("  ~ service reader: slots 6 -> 5\n"),
        "{ran:#?}"
    );
    assert!(
        ran.stdout
            .contains("  ~ workspace members-app: rate 160 -> 80"),
        "{ran:#?}"
    );
    let report = env.run(&["apply", &mine, "--json"]).expect(4).json();
    assert_eq!(report["outcome"], "conflict");
    assert_eq!(report["yours"][0]["subject"]["name"], "members-app");
    assert_eq!(report["theirs"][0]["subject"]["name"], "reader");
    let in_force = env.run(&["show"]).expect(0).stdout;
    assert!(in_force.contains("slots = 5") && in_force.contains("rate = 160.0"));
    let merged = env.files.write(
        "merged.toml",
        &in_force.replacen("rate = 160.0", "rate = 80.0", 1),
    );
    env.run(&["apply", &merged]).expect(0);
    assert_eq!(revisions(&env).len(), 3);
}

#[test]
fn apply_conflicts_if_from_is_outdated() {
    let env = Env::without_entries();
    env.apply(TEXT);
    env.apply(&with_rate(80));
    let file = env.files.write("c.toml", &with_rate(70));
    env.run(&["apply", &file, "--from", "1"]).expect(4);
    env.run(&["apply", &file, "--from", "2"]).expect(0);
}

#[test]
fn one_of_several_concurrent_edits_is_accepted() {
    const EDITORS: u32 = 6;
    let env = Env::without_entries();
    env.apply(TEXT);
    let codes: Vec<(u32, i32)> = thread::scope(|scope| {
        let editors: Vec<_> = (0..EDITORS)
            .map(|editor| {
                let env = &env;
                let name = format!("{editor}.toml");
                let file = env.files.write(&name, &with_rate(200 + editor));
                scope.spawn(move || (editor, env.run(&["apply", &file, "--from", "1"]).code))
            })
            .collect();
        editors
            .into_iter()
            .map(|editor| editor.join().expect("the editor does not panic"))
            .collect()
    });
    let winners: Vec<u32> = codes
        .iter()
        .filter(|(_, code)| *code == 0)
        .map(|(e, _)| *e)
        .collect();
    let refused = codes.iter().filter(|(_, code)| *code == 4).count();
    assert_eq!((winners.len(), refused), (1, 5), "{codes:?}");
    let shown = env.run(&["show"]).expect(0).stdout;
    assert!(
        shown.contains(&format!("rate = {}.0", 200 + winners[0])),
        "{codes:?}"
    );
}

#[test]
fn apply_succeeds_after_lost_responses() {
    for loss in [Loss::Close, Loss::Error] {
        let env = Env::without_entries();
        env.apply(TEXT);
        for (lost, rate) in [(1, 90), (2, 80), (4, 70)] {
            env.platform.faults().lose_answers(lost, loss);
            let file = env.files.write("d.toml", &with_rate(rate));
            let ran = env.run(&["apply", &file]).expect(0);
            assert!(ran.stdout.contains("accepted as revision"), "{ran:#?}");
            env.platform.faults().lose_answers(0, loss);
        }
        let listed: Vec<u64> = revisions(&env)
            .into_iter()
            .map(|(number, _)| number)
            .collect();
        assert_eq!(listed, [4, 3, 2, 1], "{loss:?}");
        let shown = env.run(&["show"]).expect(0).stdout;
        assert!(shown.contains("rate = 70.0"));
    }
}

#[test]
fn stale_reads_cause_no_conflict() {
    let env = Env::without_entries();
    env.apply(TEXT);
    env.platform.faults().set_stale_reads(true);
    env.apply(&with_rate(90));
    env.apply(&with_rate(80));
    env.platform.faults().set_stale_reads(false);
    assert_eq!(revisions(&env).len(), 3);
}

#[test]
fn unreachable_platform_prints_one_error_line() {
    let env = Env::without_entries();
    env.apply(TEXT);
    for outage in [Outage::Refuse, Outage::Close] {
        env.platform.faults().set_outage(outage);
        let file = env.files.write("e.toml", &with_rate(70));
        let ran = env.run(&["apply", &file]).expect(5);
        assert!(ran.stderr.starts_with("teaseldoor: "), "{ran:#?}");
        assert_eq!(ran.stderr.lines().count(), 1);
    }
    env.platform.faults().clear();
    assert_eq!(revisions(&env).len(), 1);
}

/// Applies `file` and calls `fault` while the platform delays the write of the text, which follows
/// the write to the history.
fn apply_with_fault_in_write(env: &Env, file: &str, fault: impl FnOnce(&Faults)) -> Ran {
    let faults = env.platform.faults();
    faults.set_delay(Duration::from_secs(1));
    let before = env.platform.counts().write;
    thread::scope(|scope| {
        let run = scope.spawn(|| env.run(&["apply", file, "--json"]));
        while env.platform.counts().write < before + 2 && !run.is_finished() {
            thread::sleep(Duration::from_millis(5));
        }
        fault(faults);
        run.join().expect("the run does not panic")
    })
}

#[test]
fn text_is_written_once_after_lost_response() {
    for loss in [Loss::Close, Loss::Error] {
        let env = Env::without_entries();
        env.apply(TEXT);
        let file = env.files.write("g.toml", &with_rate(50));
        let ran = apply_with_fault_in_write(&env, &file, |faults| faults.lose_answers(1, loss));
        let report = ran.expect(0).json();
        assert_eq!(env.platform.faults().get().lose_answers, 0);
        env.platform.faults().clear();
        let last = revisions(&env).remove(0);
        assert_eq!(
            (Some(last.0), Some(last.1.as_str())),
            (report["revision"].as_u64(), report["write_id"].as_str())
        );
        assert_eq!(last.0, 2);
    }
}

#[test]
fn outage_during_write_is_reported_as_unknown() {
    let env = Env::without_entries();
    env.apply(TEXT);
    let file = env.files.write("f.toml", &with_rate(60));
    let ran = apply_with_fault_in_write(&env, &file, |faults| faults.set_outage(Outage::Refuse));
    let report = ran.expect(7).json();
    env.platform.faults().clear();
    assert_eq!(report["outcome"], "unknown");
    let write_id = report["write_id"]
        .as_str()
        .expect("the write id is a string");
    assert!(revisions(&env).iter().all(|(_, other)| other != write_id));
}

#[test]
fn drains_keep_comments_and_layout() {
    let env = Env::without_entries();
    let text = TEXT.replacen(
        "[[backend]]\nservice = \"reader\"",
        "[[backend]] # old rack\nservice   =  \"reader\"",
        1,
    );
    env.apply(&text);
    let ran = env.run(&["drain", "backend", "10.1.1.11:8080"]).expect(0);
    assert!(
        ran.stdout
            .contains("10.1.1.11:8080 of reader in obb-a: drains\n"),
        "{ran:#?}"
    );
    let shown = env.run(&["show"]).expect(0).stdout;
    assert!(
        shown.contains("[[backend]] # old rack\nservice   =  \"reader\""),
        "{shown}"
    );
    assert!(shown.contains("drain = [\"10.1.1.11:8080\"]\n"));
    let ran = env.run(&["drain", "backend", "10.1.1.11:8080"]).expect(0);
    assert_eq!(ran.stdout, "revision 2 is this text already\n");
    env.run(&["drain", "zone", "obb-a"]).expect(0);
    env.run(&["drain", "zone", "obb-a", "--end"]).expect(0);
    env.run(&["drain", "backend", "10.1.1.11:8080", "--end"])
        .expect(0);
    let shown = env.run(&["show"]).expect(0).stdout;
    assert_eq!(shown, format!("# teaseldoor: revision 5\n{text}"));
    let ran = env.run(&["drain", "zone", "obb-c"]).expect(1);
    assert_eq!(
        ran.stderr,
        "teaseldoor: the text in force has no zone \"obb-c\"\n"
    );
    env.run(&["drain", "backend", "10.9.9.9:8080"]).expect(1);
}

#[test]
fn last_zone_of_service_cannot_be_drained() {
    let env = Env::without_entries();
    env.apply(TEXT);
    for zone in ["obb-a", "obb-b", "ndb-a", "ndb-b", "sch-a"] {
        env.run(&["drain", "zone", zone]).expect(0);
    }
    let ran = env.run(&["drain", "zone", "sch-b"]).expect(3);
    assert!(
        ran.stdout.contains("no zone can serve \"reader\""),
        "{ran:#?}"
    );
    assert_eq!(revisions(&env).len(), 6);
}
