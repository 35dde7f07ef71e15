//! `burn`: shows the burn rates of the services' error budgets.

use std::fmt;
use std::path::PathBuf;

use burn::{Alert, Report, Row};
use eyre::OptionExt;
use serde::Serialize;

use crate::cli::BurnArgs;
use crate::command::diff;
use crate::config::Config;
use crate::exit::Exit;
use crate::fleet::Fleet;
use crate::output::Output;
use crate::platform::Platform;

/// Printed report, with the path of its plot.
#[derive(Debug, Serialize)]
struct PlottedReport {
    #[serde(flatten)]
    report: Report,
    /// Path of the written plot.
    plot: Option<PathBuf>,
}

impl fmt::Display for PlottedReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let coverage = &self.report.coverage;
        write!(
            f,
            "{} of {} VMs responded",
            coverage.answered, coverage.listed
        )?;
        for (window, share) in burn::WINDOWS.iter().zip(&coverage.windows) {
            write!(f, ", {:.0}% of {} covered", share * 100.0, window.name)?;
        }
        writeln!(f)?;
        write!(
            f,
            "{:<14} {:<18} {:<14} {:>7}",
            "SERVICE", "WORKSPACE", "GOAL", "PERCENT"
        )?;
        for window in &burn::WINDOWS {
            write!(f, " {:>8}", window.name)?;
        }
        writeln!(f, " {:>9}  ALERT", "P99 MS")?;
        for row in &self.report.rows {
            write_row(f, row)?;
        }
        if self.report.rows.is_empty() {
            writeln!(f, "no requests were recorded for any objective")?;
        }
        if let Some(plot) = &self.plot {
            writeln!(f, "plot written to {}", plot.display())?;
        }
        Ok(())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, row: &Row) -> fmt::Result {
    let workspace = if row.workspace.is_empty() {
        "(open)"
    } else {
        &row.workspace
    };
    let goal = format!("{:?}", row.goal).to_lowercase();
    write!(
        f,
        "{:<14} {workspace:<18} {goal:<14} {:>7}",
        row.service, row.percent
    )?;
    for burn in &row.burns {
        write!(f, " {:>8.2}", burn.rate)?;
    }
    let p99_ms = std::time::Duration::from_micros(row.p99_us).as_secs_f64() * 1e3;
    let alert = match row.alert {
        Alert::None => "",
        Alert::Ticket => "ticket",
        Alert::Page => "page",
    };
    writeln!(f, " {p99_ms:>9.2}  {alert}")
}

/// Shows the burn rates of all objectives.
pub fn run(args: &BurnArgs, config: &Config, output: Output) -> eyre::Result<Exit> {
    let platform = Platform::new(config)?;
    let listed = platform.vms().unwrap_or_default();
    let fleet = Fleet::new(config, &listed)?;
    let text = match platform.current() {
        Ok(current) => Some(diff::in_force(&current)?.text),
        Err(error) => fleet.text().ok_or(error).map(Some)?,
    };
    let text = text.ok_or_eyre("no text has been applied yet")?;
    let recorded = fleet.recordings(&listed);
    let report = Report::new(&text, &recorded.recordings, recorded.known);
    if let Some(path) = &args.plot {
        burn::plot(&report, path)?;
    }
    let plot = args.plot.clone();
    output.report(&PlottedReport { report, plot })?;
    Ok(Exit::Done)
}
