//! `teaseldoor burn`.

mod testenv;

use testenv::{Env, TEXT};

#[test]
fn burn_shows_coverage_of_fleet() {
    let env = Env::new();
    env.apply(TEXT);
    let report = env.run(&["burn", "--json"]).expect(0).json();
    assert_eq!(report["coverage"]["listed"], 2);
    assert_eq!(report["coverage"]["answered"], 2);
    assert_eq!(
        report["coverage"]["windows"].as_array().map(Vec::len),
        Some(4)
    );
}

#[test]
fn burn_writes_a_plot() {
    let env = Env::new();
    env.apply(TEXT);
    let plot = env.files.path().join("burn.svg");
    let plot = plot.to_str().expect("the path is UTF-8");
    let ran = env.run(&["burn", "--plot", plot]).expect(0);
    assert!(ran.stdout.contains("2 of 2 VMs responded"), "{ran:#?}");
    let svg = std::fs::read_to_string(plot).expect("the plot is written");
    assert!(svg.starts_with("<svg"), "{svg}");
}
