//! Each kind of mistake is reported with its position and a hint.

use text::{MAX_TEXT_BYTES, Problem, parse};

const BASE: &str = include_str!("base.toml");

/// Replaces the first `from` in the base text by `to` and returns the reported problems.
fn problems(from: &str, to: &str) -> Vec<Problem> {
    assert!(
        BASE.contains(from),
        "the base text does not contain {from:?}"
    );
    parse(&BASE.replacen(from, to, 1)).expect_err("the text passed")
}

/// Expects one problem that contains `message` and `hint`, on the line that contains `at`.
fn expect_one(from: &str, to: &str, at: &str, message: &str, hint: &str) {
    let found = problems(from, to);
    assert_eq!(found.len(), 1, "{found:?}");
    let changed = BASE.replacen(from, to, 1);
    let line = changed.lines().nth(found[0].line - 1).unwrap_or_default();
    assert!(line.contains(at), "{} is reported for {line:?}", found[0]);
    assert!(found[0].message.contains(message), "{}", found[0]);
    let actual_hint = found[0].hint.as_deref().unwrap_or_default();
    assert!(actual_hint.contains(hint), "{}", found[0]);
}

#[test]
fn accepts_base_text() {
    assert_eq!(parse(BASE).map(|text| text.name), Ok("trial".into()));
}

#[test]
fn suggests_similar_name_for_unknown_field() {
    expect_one(
        "shift_cap_percent",
        "shift_cap_procent",
        "shift_cap_procent",
        "unknown field \"shift_cap_procent\" in steering",
        "did you mean \"shift_cap_percent\"?",
    );
    expect_one(
        "[steering]",
        "[steerin]",
        "[steerin]",
        "unknown field \"steerin\"",
        "\"steering\"",
    );
}

#[test]
fn reports_wrong_types_and_missing_fields() {
    expect_one(
        "slots = 4",
        "slots = \"4\"",
        "slots",
        "invalid type: string",
        "slots = 6",
    );
    expect_one("slots = 4", "slots = -4", "slots", "expected u32", "slots");
    expect_one(
        "slots = 4\n",
        "",
        "[[service]]",
        "missing field \"slots\"",
        "slots = 6",
    );
    expect_one(
        "\"10.64.0.0/12\"",
        "\"10.64.0.0/64\"",
        "block",
        "\"block\" in client",
        "10.64.0.0/12",
    );
    expect_one(
        "\"10.1.1.1:8080\"",
        "\"10.1.1.1\"",
        "addrs",
        "socket address",
        "10.1.1.11:8080",
    );
    expect_one(
        "access = \"open\"",
        "access = \"opn\"",
        "access",
        "unknown variant",
        "\"open\" or \"keyed\"",
    );
    expect_one(
        "[[client]]",
        "[client]",
        "[client]",
        "array of tables",
        "[[client]]",
    );
}

#[test]
fn reports_duplicates() {
    let cases = [
        (
            "name = \"south\"\n",
            "name = \"north\"\n",
            "region \"north\" is declared twice",
        ),
        (
            "name = \"south-a\"",
            "name = \"north-a\"",
            "zone \"north-a\" is declared twice",
        ),
        (
            "name = \"ledger\"",
            "name = \"front\"",
            "service \"front\" is declared twice",
        ),
        (
            "10.2.1.1:8080",
            "10.1.1.1:8080",
            "backend server 10.1.1.1:8080 is declared twice",
        ),
        (
            "path = \"/pay\"\nmethods = [\"POST\"]",
            "path = \"/read\"\nmethods = [\"POST\", \"GET\"]",
            "route \"/read\" is declared twice for GET",
        ),
    ];
    for (from, to, message) in cases {
        let found = problems(from, to);
        let reported = found.iter().any(|problem| problem.message == message);
        assert!(reported, "{message}: {found:?}");
    }
    let duplicated = [
        (
            "[[workspace]]\nname = \"acme\"\nrate = 1.0\nburst = 2.0\n",
            "workspace \"acme\"",
        ),
        (
            "[[link]]\nbetween = [\"south\", \"north\"]\nmbit_per_s = 1\nrtt_ms = 1.0\n",
            "link between \"south\" and \"north\"",
        ),
        (
            "[[client]]\nblock = \"10.64.0.0/12\"\nzone = \"south-a\"\n",
            "client block 10.64.0.0/12",
        ),
        (
            "[[backend]]\nservice = \"front\"\nzone = \"north-a\"\naddrs = []\n",
            "backend servers of \"front\" in \"north-a\"",
        ),
        (
            "[[objective]]\nservice = \"front\"\nkind = \"latency\"\npercent = 9.0\nbelow_ms = 1\n",
            "objective for \"front\"",
        ),
    ];
    for (more, message) in duplicated {
        let found = parse(&format!("{BASE}{more}")).expect_err("the text passed");
        assert_eq!(found.len(), 1, "{found:?}");
        assert!(found[0].message.starts_with(message), "{}", found[0]);
        assert!(found[0].line > BASE.lines().count(), "{}", found[0]);
    }
}

#[test]
fn reports_unknown_names() {
    let hint = "did you mean";
    expect_one(
        "region = \"south\"",
        "region = \"sout\"",
        "sout",
        "unknown region",
        hint,
    );
    expect_one(
        "[\"north\", \"south\"]",
        "[\"nort\", \"south\"]",
        "nort",
        "unknown region",
        hint,
    );
    expect_one(
        "zone = \"north-a\"",
        "zone = \"north-b\"",
        "north-b",
        "unknown zone",
        hint,
    );
    expect_one(
        "[\"ledger\"]",
        "[\"legder\"]",
        "legder",
        "unknown service",
        hint,
    );
    expect_one(
        "\"ledger\"\naccess",
        "\"ledgers\"\naccess",
        "ledgers",
        "unknown service",
        hint,
    );
    expect_one(
        "kind = \"latency\"",
        "workspace = \"acne\"\nkind = \"latency\"",
        "acne",
        "unknown workspace",
        hint,
    );
    expect_one(
        "drain = [\"10.1.1.2:8080\"]",
        "drain = [\"10.1.1.3:8080\"]",
        "drain",
        "10.1.1.3:8080 is not in addrs",
        hint,
    );
}

#[test]
fn reports_cycle_once() {
    expect_one(
        "name = \"ledger\"\nslots = 2",
        "name = \"ledger\"\ndepends_on = [\"front\"]\nslots = 2",
        "depends_on = [\"front\"]",
        "cyclic dependency: front -> ledger -> front",
        "delete one",
    );
}

#[test]
fn reports_cycle_beside_other_dependencies() {
    expect_one(
        "depends_on = [\"ledger\"]",
        "depends_on = [\"ledger\", \"front\"]",
        "depends_on",
        "cyclic dependency: front -> front",
        "delete one",
    );
}

#[test]
fn reports_services_without_servers() {
    let found = problems("addrs = [\"10.2.1.1:8080\"]", "addrs = []");
    let messages: Vec<&str> = found.iter().map(|p| p.message.as_str()).collect();
    assert_eq!(
        messages,
        [
            "no zone can serve \"front\": it needs \"ledger\", which no zone can serve",
            "no zone can serve \"ledger\": no backend server of it takes work",
        ]
    );
    let drained = "region = \"south\"\ndrain = true";
    assert_eq!(problems("region = \"south\"", drained).len(), 2);
}

#[test]
fn reports_numbers_out_of_range() {
    expect_one(
        "= 10.0\n",
        "= 0.0\n",
        "shift_cap",
        "shift_cap_percent",
        "10.0",
    );
    expect_one(
        "= 10.0\n",
        "= 100.5\n",
        "shift_cap",
        "shift_cap_percent",
        "10.0",
    );
    let headroom = "shift_cap_percent = 10.0\nheadroom_percent = 100.0";
    expect_one(
        "shift_cap_percent = 10.0",
        headroom,
        "headroom",
        "headroom_percent",
        "10.0",
    );
    let window = "shift_cap_percent = 10.0\nshift_window_s = 0";
    expect_one(
        "shift_cap_percent = 10.0",
        window,
        "window",
        "shift_window_s is zero",
        "",
    );
    expect_one(
        "region = \"south\"",
        "region = \"south\"\nentry_vms = 0",
        "entry_vms",
        "no entry VMs",
        "drain",
    );
    expect_one(
        "mbit_per_s = 100",
        "mbit_per_s = 0",
        "mbit",
        "mbit_per_s is zero",
        "",
    );
    expect_one(
        "rtt_ms = 12.0",
        "rtt_ms = nan",
        "rtt_ms",
        "rtt_ms must be at least 0 and finite",
        "",
    );
}

#[test]
fn reports_service_and_workspace_numbers_out_of_range() {
    expect_one(
        "slots = 4",
        "slots = 0",
        "slots",
        "slots is zero",
        "above zero",
    );
    expect_one(
        "deadline_ms = 500",
        "deadline_ms = 0",
        "deadline",
        "deadline_ms is zero",
        "",
    );
    expect_one(
        "deadline_ms = 500",
        "body_limit = 0",
        "body",
        "body_limit is zero",
        "",
    );
    for rate in ["0.0", "-1.0", "nan", "inf"] {
        expect_one(
            "rate = 10.0",
            &format!("rate = {rate}"),
            "rate",
            "rate of workspace",
            "",
        );
        expect_one(
            "burst = 20.0",
            &format!("burst = {rate}"),
            "burst",
            "burst of workspace",
            "",
        );
    }
    expect_one(
        "percent = 99.0",
        "percent = 100.0",
        "percent",
        "percent must be above 0",
        "99.9",
    );
    expect_one(
        "below_ms = 250\n",
        "",
        "[[objective]]",
        "without below_ms",
        "250",
    );
    expect_one(
        "\"latency\"",
        "\"admission\"",
        "below_ms",
        "latency objectives only",
        "delete",
    );
}

#[test]
fn reports_routes_without_possible_requests() {
    expect_one(
        "\"/pay\"",
        "\"pay\"",
        "pay",
        "can match no request",
        "starts with /",
    );
    expect_one(
        "[\"POST\"]",
        "[\"post\"]",
        "post",
        "not an HTTP method",
        "POST",
    );
    expect_one("[\"POST\"]", "[]", "methods", "has no methods", "GET");
    expect_one(
        "between = [\"north\", \"south\"]",
        "between = [\"north\", \"north\"]",
        "north",
        "itself",
        "two",
    );
    let start = BASE.find("[[workspace]]").expect("a workspace");
    let end = BASE.find("[[objective]]").expect("an objective");
    let found = problems(&BASE[start..end], "");
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(
        found[0].message,
        "route \"/pay\" is keyed, but there is no workspace"
    );
}

#[test]
fn reports_all_problems_in_order() {
    let source = BASE
        .replace("slots = 4", "slots = true")
        .replace("mbit_per_s = 100", "mbit_per_s = 0")
        .replace("zone = \"south-a\"", "zone = \"nowhere\"")
        .replace("rate = 10.0", "rote = 10.0");
    let found = parse(&source).expect_err("the text passed");
    let messages: Vec<&str> = found.iter().map(|p| p.message.as_str()).collect();
    assert_eq!(
        messages,
        [
            "mbit_per_s is zero",
            "\"slots\" in service: invalid type: boolean `true`, expected u32",
            "unknown zone \"nowhere\"",
            "missing field \"rate\" in workspace",
            "unknown field \"rote\" in workspace",
        ]
    );
    assert!(found.is_sorted_by_key(|problem| (problem.line, problem.column)));
}

#[test]
fn reports_all_syntax_errors() {
    let source = BASE
        .replace("slots = 4", "slots = = 4")
        .replace("rate = 10.0", "rate 10.0");
    let found = parse(&source).expect_err("the text passed");
    let lines: Vec<usize> = found.iter().map(|problem| problem.line).collect();
    let line_of = |part: &str| source.lines().position(|l| l == part).map(|l| l + 1);
    assert!(line_of("slots = = 4").is_some_and(|line| lines.contains(&line)));
    assert!(line_of("rate 10.0").is_some_and(|line| lines.contains(&line)));
}

#[test]
fn accepts_references_beside_unreadable_name() {
    expect_one(
        "name = \"south\"\n",
        "name = 5\n",
        "name = 5",
        "invalid type",
        "name",
    );
}

#[test]
fn rejects_text_over_size_limit() {
    let padded = |length: usize| {
        let comment = "#".repeat(length - BASE.len() - 1);
        format!("{BASE}{comment}\n")
    };
    assert!(parse(&padded(MAX_TEXT_BYTES)).is_ok());
    let found = parse(&padded(MAX_TEXT_BYTES + 1)).expect_err("the text passed");
    assert_eq!(found.len(), 1);
    assert!(found[0].message.contains("1000001 bytes"), "{}", found[0]);
}

#[test]
fn counts_columns_in_characters() {
    let tables = "region = [{ name = \"ä\", nam = \"b\" }]\n";
    let found = parse(tables).expect_err("the text passed");
    let misspelled = found.iter().find(|p| p.message.contains("\"nam\""));
    assert_eq!(
        misspelled.map(|p| (p.line, p.column)),
        Some((1, 25)),
        "{found:?}"
    );
}
