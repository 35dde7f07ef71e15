//! Commands that need no connection.

mod testenv;

use clap::CommandFactory;
use testenv::{Files, TEXT, teaseldoor};

#[test]
fn check_accepts_valid_text() {
    let files = Files::new();
    let file = files.write("a.toml", TEXT);
    let ran = teaseldoor(["check", &file]).expect(0);
    assert!(ran.stdout.ends_with("a.toml: no problems\n"), "{ran:#?}");
    assert_eq!(ran.stderr, "");
}

#[test]
fn check_shows_every_problem_with_its_position() {
    let files = Files::new();
    let text =
        TEXT.replacen("slots = 6", "slots = 0", 1)
            .replacen("rate = 160.0", "rates = 160.0", 1);
    let file = files.write("a.toml", &text);
    let ran = teaseldoor(["check", &file]).expect(3);
    let line = text
        .lines()
        .position(|line| line == "slots = 0")
        .expect("the text has the line")
        + 1;
    assert!(
        ran.stdout
            .contains(&format!("a.toml:{line}:9: slots is zero (")),
        "{ran:#?}"
    );
    assert!(ran.stdout.ends_with("3 problems\n"), "{ran:#?}");
    let report = teaseldoor(["check", &file, "--json"]).expect(3).json();
    assert_eq!(report["problems"].as_array().map(Vec::len), Some(3));
    assert_eq!(report["problems"][0]["line"], line);
}

#[test]
fn unreadable_file_prints_one_error_line() {
    let ran = teaseldoor(["check", "missing.toml"]).expect(1);
    assert!(
        ran.stderr
            .starts_with("teaseldoor: cannot read missing.toml: "),
        "{ran:#?}"
    );
    assert_eq!(ran.stderr.lines().count(), 1);
    assert_eq!(ran.stdout, "");
}

#[test]
fn diff_compares_two_files() {
    let files = Files::new();
    let old = files.write("old.toml", TEXT);
    let new = files.write("new.toml", &TEXT.replacen("rate = 160.0", "rate = 80.0", 1));
    let expected = "~ workspace members-app: rate 160 -> 80 requests/s\n";
    let ran = teaseldoor(["diff", &new, "--against", &old]).expect(0);
    assert_eq!(ran.stdout, expected);
    let ran = teaseldoor(["diff", &new, "--against", &old, "--color", "always"]).expect(0);
    assert_eq!(
        ran.stdout,
        "\u{1b}[33m~ workspace members-app: rate 160 -> 80 requests/s\u{1b}[0m\n"
    );
    let ran = teaseldoor(["diff", &new, "--against", &old, "--lines"]).expect(0);
    assert!(
        ran.stdout.contains("\n-rate = 160.0\n+rate = 80.0\n"),
        "{ran:#?}"
    );
    let report = teaseldoor(["diff", &new, "--against", &old, "--json"])
        .expect(0)
        .json();
    assert_eq!(report["changes"][0]["subject"]["name"], "members-app");
    assert_eq!(report["changes"][0]["new"], 80.0);
}

#[test]
fn rejects_unknown_or_missing_settings() {
    let files = Files::new();
    let settings = files.write("settings.toml", "platfrom = \"http://10.0.0.1:8500\"\n");
    let ran = teaseldoor(["--settings", &settings, "history"]).expect(1);
    assert!(ran.stderr.contains("unknown field `platfrom`"), "{ran:#?}");
    assert_eq!(ran.stderr.lines().count(), 1);
    let ran = teaseldoor(["history"]).expect(1);
    assert_eq!(
        ran.stderr,
        "teaseldoor: no platform is set; use --platform or the settings file\n"
    );
}

#[test]
fn every_option_and_command_is_documented() {
    fn expect_help(command: &clap::Command) {
        let name = command.get_name();
        assert!(command.get_about().is_some(), "{name}");
        for arg in command.get_arguments() {
            assert!(arg.get_help().is_some(), "{name} {}", arg.get_id());
        }
        command.get_subcommands().for_each(expect_help);
    }
    let command = ops::Cli::command();
    command.clone().debug_assert();
    expect_help(&command);
}

#[test]
fn invalid_command_line_exits_with_2() {
    teaseldoor(["aply"]).expect(2);
    teaseldoor(["apply", "a.toml", "--wait-limit-s", "5"]).expect(2);
}

#[test]
fn completions_and_manual_pages_are_generated() {
    let ran = teaseldoor(["completions", "bash"]).expect(0);
    assert!(
        ran.stdout.contains("withdraw"),
        "the script lacks the subcommand"
    );
    let files = Files::new();
    let dir = files.path().join("man");
    teaseldoor(["man", dir.to_str().expect("the path is UTF-8")]).expect(0);
    let page =
        std::fs::read_to_string(dir.join("teaseldoor-apply.1")).expect("the page is written");
    assert!(page.contains("Put a text in force"), "{page}");
    assert!(dir.join("teaseldoor.1").exists());
}
